/** Times at which parts were last proven, by this daemon and by others. */
import { LRUCache } from "lru-cache";
import { MAXIMUM_PROVEN_PARTS } from "./constants.js";

/** Bounded collection of proofs. */
export interface Proofs {
    /** Records a proof; returns whether it is the newest. */
    record(part: string, at: number, source: "own" | "told"): boolean;
    /** Returns the time of the newest proof, or negative infinity. */
    lastAt(part: string): number;
    /** Returns the time of the newest proof by this daemon. Only these are told, so that no delay adds up. */
    lastOwnAt(part: string): number;
}

interface ProofTimes {
    readonly own: number;
    readonly told: number;
}

const NEVER: ProofTimes = { own: Number.NEGATIVE_INFINITY, told: Number.NEGATIVE_INFINITY };

/** Creates an empty collection. */
export function createProofs(): Proofs {
    const times = new LRUCache<string, ProofTimes>({ max: MAXIMUM_PROVEN_PARTS });
    return {
        record: (part, at, source) => {
            const before = times.get(part) ?? NEVER;
            times.set(part, { ...before, [source]: Math.max(at, before[source]) });
            return at > Math.max(before.own, before.told);
        },
        lastAt: part => {
            const { own, told } = times.peek(part) ?? NEVER;
            return Math.max(own, told);
        },
        lastOwnAt: part => (times.peek(part) ?? NEVER).own,
    };
}
