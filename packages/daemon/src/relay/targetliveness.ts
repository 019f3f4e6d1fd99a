/** Whether the process of a target still answers after one of its connections has ended. */
import type { Target } from "@damaskvale/core";
import { reportFromSameProcess } from "../engines/hostrecords.js";
import type { EngineControl } from "../ports/enginecontrol.js";
import type { RelayState } from "./statetypes.js";

/**
 * Returns what asks a target for its report. A target that is known to leave counts as answering: it may close its port while
 * its last responses end.
 */
export function createTargetLiveness(
    state: Pick<RelayState, "targetById">,
    engines: Pick<EngineControl, "report">,
): (target: Target) => Promise<boolean> {
    return async target => {
        const isLeaving = state.targetById(target.id)?.draining !== false;
        return isLeaving || reportFromSameProcess(target, await engines.report(target)) !== undefined;
    };
}
