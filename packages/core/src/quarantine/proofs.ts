/** Times at which parts were last proven, by this daemon and by others. */
import { LRUCache } from "lru-cache";
import { MAXIMUM_PROVEN_PARTS } from "./constants.js";

interface ProofTimes {
    readonly own: number;
    readonly told: number;
}

const NEVER: ProofTimes = { own: Number.NEGATIVE_INFINITY, told: Number.NEGATIVE_INFINITY };

/** Bounded collection of proofs. */
export class Proofs {
    private readonly times = new LRUCache<string, ProofTimes>({ max: MAXIMUM_PROVEN_PARTS });

    /** Records a proof; returns whether it is the newest. */
    record(part: string, at: number, source: "own" | "told"): boolean {
        const before = this.times.get(part) ?? NEVER;
        this.times.set(part, { ...before, [source]: Math.max(at, before[source]) });
        return at > Math.max(before.own, before.told);
    }

    /** Returns the time of the newest proof, or negative infinity. */
    lastAt(part: string): number {
        const { own, told } = this.times.peek(part) ?? NEVER;
        return Math.max(own, told);
    }

    /** Returns the time of the newest proof by this daemon. Only these are told, so that delays don't add up. */
    lastOwnAt(part: string): number {
        return (this.times.peek(part) ?? NEVER).own;
    }
}
