/** Bounded store of what became of the newest requests. */
import type { Explanation } from "./types.js";

/** Store of explanations; the oldest are dropped first. */
export interface Explanations {
    put(explanation: Explanation): void;
    /** Changes fields of a stored explanation; one that was dropped stays dropped. */
    update(requestId: string, change: (explanation: Explanation) => Partial<Explanation>): void;
    get(requestId: string): Explanation | undefined;
}

/** Bound of the number of explanations; at about 2 KiB each they stay below 5 MB. */
const MAXIMUM_EXPLANATIONS = 2_000;

/** Makes a store. */
export function createExplanations(maximum = MAXIMUM_EXPLANATIONS): Explanations {
    const stored = new Map<string, Explanation>();
    return {
        put: explanation => {
            stored.set(explanation.requestId, explanation);
            if (stored.size > maximum) {
                [...stored.keys()].slice(0, 1).forEach(oldest => stored.delete(oldest));
            }
        },
        update: (requestId, change) => {
            const known = stored.get(requestId);
            if (known !== undefined) {
                stored.set(requestId, { ...known, ...change(known) });
            }
        },
        get: requestId => stored.get(requestId),
    };
}
