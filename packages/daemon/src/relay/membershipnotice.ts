/** Applies memberships that engines reported, and passes on those that concern callers. */
import type { GroupMembership } from "@damaskvale/core";
import type { RelayState, ReportedMembership } from "./statetypes.js";

/** Creates a receiver of reported memberships; `broadcast` sends one to all other daemons at once. */
export function createMembershipNotice(
    state: Pick<RelayState, "applyMembership" | "targetById">,
    broadcast: (reported: ReportedMembership) => void,
): (reported: ReportedMembership) => void {
    return reported => {
        const known = state.targetById(reported.host)?.membership;
        state.applyMembership(reported);
        if (servesCallers(reported.membership) || servesCallers(known)) {
            broadcast(reported);
        }
    };
}

/** Returns whether callers' requests are sent to the host. The registry shows the other memberships early enough. */
function servesCallers(membership: GroupMembership | undefined): boolean {
    return membership?.rank === 0 && membership.state === "open";
}
