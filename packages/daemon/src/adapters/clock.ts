/** Monotonic and wall clocks of the process. */
import { performance } from "node:perf_hooks";
import type { Clock } from "../ports/clock.js";

export const systemClock: Clock = {
    monotonic: () => performance.now(),
    wall: () => Date.now(),
};
