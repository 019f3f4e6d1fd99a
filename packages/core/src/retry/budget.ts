/** Retry budget: limits retries to a fraction of the first attempts, so that an outage causes no retry storm. */

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
    /** Retries per first attempt over the window. */
    readonly ratio?: number;
    /** Retries per second that are always allowed, so that a daemon with little traffic can retry. */
    readonly minimumPerSecond?: number | (() => number);
    readonly windowMilliseconds?: number;
}

/** Retry budget of one daemon for one model or service. */
export interface RetryBudget {
    /** Records a first attempt. */
    recordFirstAttempt(now: number): void;
    /** Withdraws one retry and returns true if the budget allows it. */
    tryWithdraw(now: number): boolean;
    /** Number of retries that the budget allows now. */
    balance(now: number): number;
}

interface Slot {
    readonly index: number;
    firstAttempts: number;
    retries: number;
}

/** Number of slots that the sliding window consists of. */
const SLOT_COUNT = 10;

/**
 * Creates a budget over a sliding window. Within any window, the number of retries stays below
 * `ratio` x first attempts + `minimumPerSecond` x window.
 */
export function createRetryBudget(
    { ratio = 0.1, minimumPerSecond = 0.5, windowMilliseconds = 10_000 }: RetryBudgetOptions = {},
): RetryBudget {
    const slotMilliseconds = windowMilliseconds / SLOT_COUNT;
    const minimum = (): number => typeof minimumPerSecond === "number" ? minimumPerSecond : minimumPerSecond();
    let slots: Slot[] = [];

    const slotAt = (now: number): Slot => {
        const index = Math.floor(now / slotMilliseconds);
        slots = slots.filter(slot => slot.index > index - SLOT_COUNT);
        const newest = slots.at(-1);
        if (newest !== undefined && newest.index >= index) {
            return newest;
        }
        const slot = { index, firstAttempts: 0, retries: 0 };
        slots.push(slot);
        return slot;
    };
    const balance = (now: number): number => {
        slotAt(now);
        const firstAttempts = slots.reduce((sum, slot) => sum + slot.firstAttempts, 0);
        const retries = slots.reduce((sum, slot) => sum + slot.retries, 0);
        return firstAttempts * ratio + minimum() * windowMilliseconds / 1_000 - retries;
    };

    return {
        recordFirstAttempt: now => {
            slotAt(now).firstAttempts += 1;
        },
        tryWithdraw: now => {
            if (balance(now) < 1) {
                return false;
            }
            slotAt(now).retries += 1;
            return true;
        },
        balance,
    };
}
