/** Registry of the benchmarks that `npm run bench` runs. */
import { coldTargetsBench } from "./coldtargets/bench.js";
import { configurationBench } from "./configuration.js";
import { controlBench } from "./control/bench.js";
import { erasBench } from "./eras/bench.js";
import { foldBench } from "./fold.js";
import { groupsBench } from "./groups/bench.js";
import { limitsBench } from "./limits/limits.js";
import { retriesBench } from "./limits/retries.js";
import { targetLimitsBench } from "./limits/targetlimits.js";
import { pathBench } from "./path/bench.js";
import { quarantineBench } from "./quarantine/bench.js";
import { routingBench } from "./routing/bench.js";
import { sheddingBench } from "./shedding/bench.js";
import type { Bench } from "./types.js";

/** All benchmarks, in the order in which they run. */
export const benches: readonly Bench[] = [
    routingBench,
    limitsBench,
    retriesBench,
    targetLimitsBench,
    coldTargetsBench,
    sheddingBench,
    quarantineBench,
    erasBench,
    groupsBench,
    foldBench,
    configurationBench,
    pathBench,
    controlBench,
];
