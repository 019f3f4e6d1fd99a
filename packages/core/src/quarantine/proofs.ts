/** Times at which parts were last proven, by this daemon and by others. */
import { LRUCache } from "lru-cache";
import { MAXIMUM_PROVEN_PARTS } from "./constants.js";

interface ProofTimes {
    readonly own: number;
    readonly reported: number;
    /** When a proof by this daemon first cleared a crash that counted until then. */
    readonly clearedAt: number;
}

const NEVER: ProofTimes = {
    own: Number.NEGATIVE_INFINITY,
    reported: Number.NEGATIVE_INFINITY,
    clearedAt: Number.NEGATIVE_INFINITY,
};

/** A proof that is reported again seems newer by the difference of two messages' times. */
const TOLERANCE_MILLISECONDS = { own: 0, reported: 100 };

/** Bounded collection of proofs. */
export class Proofs {
    private readonly times = new LRUCache<string, ProofTimes>({ max: MAXIMUM_PROVEN_PARTS });

    /** Records a proof; returns whether it is the newest. */
    record(part: string, at: number, source: "own" | "reported"): boolean {
        const before = this.times.get(part) ?? NEVER;
        if (at <= before[source] + TOLERANCE_MILLISECONDS[source]) {
            return false;
        }
        this.times.set(part, { ...before, [source]: at });
        return at > Math.max(before.own, before.reported);
    }

    /** Notes that a proof by this daemon cleared a crash, which others should know soon. */
    markCleared(part: string, now: number): void {
        this.times.set(part, { ...this.times.peek(part) ?? NEVER, clearedAt: now });
    }

    /** Returns when a proof by this daemon last cleared a crash. */
    clearedAt(part: string): number {
        return (this.times.peek(part) ?? NEVER).clearedAt;
    }

    /** Returns the time of the newest proof, or negative infinity. */
    lastAt(part: string): number {
        const { own, reported } = this.times.peek(part) ?? NEVER;
        return Math.max(own, reported);
    }

    /** Returns the time of the newest proof by this daemon. Only these are reported, so that delays don't add up. */
    lastOwnAt(part: string): number {
        return (this.times.peek(part) ?? NEVER).own;
    }
}
