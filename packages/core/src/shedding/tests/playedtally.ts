/** What the callers of a played fleet receive, by priority and by size. */

/** What a caller got, with its one return after a refusal. */
export type Outcome = "in time" | "late" | "refused";

/** One caller. */
export interface RecordedCaller {
    readonly priority: number;
    readonly tokens: number;
    readonly outcome: Outcome;
    /** Whether a refusal took longer than an eighth of the objective. */
    readonly heldTooLong: boolean;
    readonly isReturn: boolean;
}

/** Shares of the callers of one priority, or of all. */
export interface PlayedShares {
    readonly callers: number;
    readonly inTime: number;
    readonly late: number;
    readonly refused: number;
    /** Mean value of what a caller got: 1 in time, 0.35 late. */
    readonly value: number;
    readonly heldTooLong: number;
    /** Share served of the largest tenth by tokens, relative to the share served of all. */
    readonly largestTenth: number;
}

/** Result of a play. */
export interface PlayedResult {
    readonly all: PlayedShares;
    readonly byPriority: ReadonlyMap<number, PlayedShares>;
}

/** Collects callers. */
export interface Tally {
    record(caller: RecordedCaller): void;
    result(): PlayedResult;
}

/** Streams that are late count 0.2 to 0.47 of those in time. */
const LATE_VALUE = 0.35;

/** Creates an empty tally. */
export function createTally(): Tally {
    const callers: RecordedCaller[] = [];
    return {
        record: caller => void callers.push(caller),
        result: () => {
            const priorities = [...new Set(callers.map(({ priority }) => priority))].sort();
            return {
                all: sharesOf(callers),
                byPriority: new Map(
                    priorities.map(
                        priority => [priority, sharesOf(callers.filter(caller => caller.priority === priority))],
                    ),
                ),
            };
        },
    };
}

function sharesOf(callers: readonly RecordedCaller[]): PlayedShares {
    const share = (matches: (caller: RecordedCaller) => boolean, among = callers): number =>
        among.length === 0 ? 0 : among.filter(matches).length / among.length;
    const isServed = ({ outcome }: RecordedCaller): boolean => outcome !== "refused";
    const largest = [...callers].sort((left, right) => right.tokens - left.tokens).slice(0, callers.length / 10);
    const inTime = share(({ outcome }) => outcome === "in time");
    const late = share(({ outcome }) => outcome === "late");
    return {
        callers: callers.length,
        inTime,
        late,
        refused: share(({ outcome }) => outcome === "refused"),
        value: inTime + LATE_VALUE * late,
        heldTooLong: share(({ heldTooLong }) => heldTooLong),
        largestTenth: share(isServed, largest) / Math.max(share(isServed), Number.EPSILON),
    };
}
