/** Retry budget: further attempts are limited to a share of the first attempts, so that an outage starts no storm. */

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
    /** Further attempts for each first attempt, over the window. */
    readonly ratio?: number;
    /** Further attempts a second that are always allowed, so that a quiet daemon can retry. */
    readonly minimumPerSecond?: number | (() => number);
    readonly windowMilliseconds?: number;
}

/** Budget of one daemon for one model or service. */
export interface RetryBudget {
    /** Notes a first attempt. */
    recordFirstAttempt(now: number): void;
    /** Takes one further attempt if the budget allows it. */
    tryWithdraw(now: number): boolean;
    /** Further attempts that the budget allows now. */
    balance(now: number): number;
}

interface Slot {
    readonly index: number;
    first: number;
    further: number;
}

/** The window moves in this many steps. */
const SLOTS = 10;

/**
 * Makes a budget over a sliding window. Within any window, further attempts stay below
 * `ratio` x first attempts + `minimumPerSecond` x window.
 */
export function createRetryBudget(
    { ratio = 0.1, minimumPerSecond = 0.5, windowMilliseconds = 10_000 }: RetryBudgetOptions = {},
): RetryBudget {
    const slotMilliseconds = windowMilliseconds / SLOTS;
    const minimum = (): number => typeof minimumPerSecond === "number" ? minimumPerSecond : minimumPerSecond();
    let slots: Slot[] = [];

    const slotAt = (now: number): Slot => {
        const index = Math.floor(now / slotMilliseconds);
        slots = slots.filter(slot => slot.index > index - SLOTS);
        const newest = slots.at(-1);
        if (newest !== undefined && newest.index >= index) {
            return newest;
        }
        const slot = { index, first: 0, further: 0 };
        slots.push(slot);
        return slot;
    };
    const balance = (now: number): number => {
        slotAt(now);
        const first = slots.reduce((sum, slot) => sum + slot.first, 0);
        const further = slots.reduce((sum, slot) => sum + slot.further, 0);
        return first * ratio + minimum() * windowMilliseconds / 1_000 - further;
    };

    return {
        recordFirstAttempt: now => {
            slotAt(now).first += 1;
        },
        tryWithdraw: now => {
            if (balance(now) < 1) {
                return false;
            }
            slotAt(now).further += 1;
            return true;
        },
        balance,
    };
}
