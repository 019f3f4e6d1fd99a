/** Divides the capacity of a short time among the priorities: each gets the chance with which its requests are admitted. */

/** Input of `computeChances`. All quantities are numbers of requests within the same horizon. */
export interface ChancesInput {
    /** Requests that the groups can take: free slots, and slots that become free. */
    readonly capacity: number;
    /** Requests that are expected, by priority; the most urgent ones first. */
    readonly demand: readonly number[];
}

/**
 * Share of the chance of all requests that every priority keeps. Callers are promised a quarter; the rest covers that each
 * daemon estimates the demand from some four requests a second of its own.
 */
const KEPT_SHARE = 0.5;
/**
 * Returns the chance of admission by priority, which never rises with a less urgent priority. Each priority keeps a part of
 * the common chance, so that none starves. What is left goes to the most urgent demand first; a less urgent request is
 * admitted from what remains when the more urgent demand is covered. Nothing more is reserved: keeping two standard
 * deviations of the more urgent demand free refused a quarter of the less urgent requests at a steady load of three slots in
 * four, and served the most urgent ones no better.
 */
export function computeChances({ capacity, demand }: ChancesInput): number[] {
    const total = demand.reduce((sum, count) => sum + count, 0);
    const common = total <= 0 ? 1 : Math.min(1, Math.max(0, capacity) / total);
    const kept = KEPT_SHARE * common;
    let left = Math.max(0, capacity) - kept * total;
    let previous = 1;
    return demand.map(count => {
        const wanted = (1 - kept) * count;
        const share = wanted > 0 ? Math.min(1, left / wanted) : left > 0 ? 1 : 0;
        const chance = Math.min(previous, kept + (1 - kept) * share);
        left = Math.max(0, left - share * wanted);
        previous = chance;
        return chance;
    });
}

/** Bounds of the factor by which the work of a request changes its chance, so that size alone never decides. */
const LEAST_SIZE_FACTOR = 0.7;
const MOST_SIZE_FACTOR = 1.3;

/**
 * Returns the chance of one request: while capacity is short, one that needs less work than usual has a better one, since
 * more callers are served in the same capacity. `workRatio` is its work relative to the mean.
 */
export function sizedChance(chance: number, workRatio: number): number {
    if (chance >= 1) {
        return 1;
    }
    const factor = 1 / Math.sqrt(Math.max(workRatio, Number.EPSILON));
    return Math.min(1, chance * Math.min(MOST_SIZE_FACTOR, Math.max(LEAST_SIZE_FACTOR, factor)));
}
