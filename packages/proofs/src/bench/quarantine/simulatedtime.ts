/** Simulated time in ticks, with what is due at each, and the random numbers of the simulation. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Step of the simulated time. */
export const TICK_MILLISECONDS = 10;

/** Range from which a time is drawn, in milliseconds. */
export interface TimeRange {
    readonly least: number;
    readonly most: number;
}

/** Simulated time. */
export class SimulatedTime {
    now = 0;
    readonly random: () => number;
    private readonly due = new Map<number, (() => void)[]>();

    constructor(generator: RandomGenerator) {
        this.random = () => uniformFloat64(generator);
    }

    /** Number of the current tick. */
    get tick(): number {
        return Math.round(this.now / TICK_MILLISECONDS);
    }

    /** Runs something at `at`, at the next tick at the earliest. */
    schedule(at: number, run: () => void): void {
        const tick = Math.max(Math.floor(this.now / TICK_MILLISECONDS) + 1, Math.ceil(at / TICK_MILLISECONDS));
        this.due.set(tick, [...this.due.get(tick) ?? [], run]);
    }

    /** Runs what is due at the current tick. */
    runDue(): void {
        const { tick } = this;
        this.due.get(tick)?.forEach(run => run());
        this.due.delete(tick);
    }

    /** Draws a time from a range; short times are as likely as long ones by their ratio. */
    between({ least, most }: TimeRange): number {
        return least * (most / least) ** this.random();
    }
}
