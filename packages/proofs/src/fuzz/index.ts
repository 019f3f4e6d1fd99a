/** Registry of the fuzz modules that `npm run proofs` runs. */
import { claimsFuzz } from "./claims.js";
import { configurationFuzz } from "./configuration.js";
import { erasFuzz } from "./eras.js";
import { groupsFuzz } from "./groups.js";
import { admissionFuzz } from "./limits.js";
import { membershipFuzz } from "./membership.js";
import { plannerFuzz } from "./planner.js";
import { quarantineFuzz } from "./quarantine.js";
import { requestsFuzz } from "./requests.js";
import { retryFuzz, routingFuzz } from "./routing.js";
import { fairnessFuzz, sharesFuzz } from "./shares.js";
import { targetLimitsFuzz } from "./targetlimits.js";
import { targetStatementsFuzz } from "./targetstatements.js";
import type { FuzzModule } from "./types.js";

/** All fuzz modules, in execution order. */
export const fuzzModules: readonly FuzzModule[] = [
    configurationFuzz,
    claimsFuzz,
    admissionFuzz,
    fairnessFuzz,
    sharesFuzz,
    targetLimitsFuzz,
    targetStatementsFuzz,
    quarantineFuzz,
    routingFuzz,
    retryFuzz,
    requestsFuzz,
    erasFuzz,
    groupsFuzz,
    membershipFuzz,
    plannerFuzz,
];
