/** Which simulated daemons run and reach each other. */
import type { Daemon, Disturbance } from "./partfleettypes.js";
import type { SimulatedTime } from "./simulatedtime.js";

/** Time without a disturbance after which a daemon is in touch. */
const STABLE_MILLISECONDS = 3_000;

/** Connectivity of the daemons. */
export class Connectivity {
    constructor(private readonly time: SimulatedTime, private readonly disturbances: readonly Disturbance[]) {}

    isRunning({ pausedUntil }: Daemon): boolean {
        return pausedUntil <= this.time.now;
    }

    /** Runs something in a daemon, after its pause if it is paused. */
    runIn(daemon: Daemon, run: () => void): void {
        if (this.isRunning(daemon)) {
            run();
        }
        else {
            this.time.schedule(daemon.pausedUntil, run);
        }
    }

    isCut({ index }: Daemon): boolean {
        const { now } = this.time;
        return this.disturbances.some(disturbance =>
            disturbance.kind === "cut" && disturbance.daemons.includes(index)
            && now >= disturbance.from && now < disturbance.until
        );
    }

    /** Whether the daemon has been neither cut off nor paused nor started for 3 s. */
    isInTouch(daemon: Daemon): boolean {
        return !this.isCut(daemon) && this.isRunning(daemon)
            && this.time.now - daemon.disturbedAt >= STABLE_MILLISECONDS;
    }
}
