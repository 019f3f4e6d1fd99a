/** Bounded store of explanations of the most recent requests. */
import type { Explanation } from "./types.js";

/** Store of explanations. When it is full, the oldest one is dropped. */
export interface Explanations {
    put(explanation: Explanation): void;
    /** Updates fields of a stored explanation. Does nothing if it has been dropped. */
    update(requestId: string, change: (explanation: Explanation) => Partial<Explanation>): void;
    get(requestId: string): Explanation | undefined;
}

/** Maximum number of explanations. At about 2 KiB each they take less than 5 MB. */
const MAXIMUM_EXPLANATIONS = 2_000;

/** Creates an empty store. */
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
