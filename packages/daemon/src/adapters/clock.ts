/** Clocks of the process. */
import { performance } from "node:perf_hooks";
import type { Clock } from "../ports/clock.js";

/** Clock of the running process. */
export const systemClock: Clock = {
    monotonic: () => performance.now(),
    wall: () => Date.now(),
};
