/**
 * Orders what is stated about the group of one host process. The registry, the engine and other daemons state it at different ages,
 * so that statements reach a daemon in any order.
 */
import type { GroupMembership } from "./types.js";

/** What a statement says of the group of a process: its membership, or that it is in none. */
export interface StatedGroup {
    readonly membership?: GroupMembership;
    /** Epoch of the last group that the process is known to have left. Epochs of a process never decrease. */
    readonly leftEpoch?: number;
}

/** How a statement relates to what is known of the same process. `unordered`: either may be the later one. */
export type StatementOrder = "earlier" | "same" | "later" | "unordered";

/** Orders a statement against what is known. */
export function orderStatements(statement: StatedGroup, known: StatedGroup): StatementOrder {
    if (statement.membership !== undefined) {
        return known.membership === undefined
            ? orderEpochs(statement.membership.epoch, known.leftEpoch)
            : orderMemberships(statement.membership, known.membership);
    }
    return known.membership === undefined
        ? "same"
        : INVERSE_ORDERS[orderEpochs(known.membership.epoch, statement.leftEpoch)];
}

/** Returns the epoch of the last group that a process has left if it was in the known state and is in no group now. */
export function epochLeft({ membership, leftEpoch }: StatedGroup): number | undefined {
    return membership?.epoch ?? leftEpoch;
}

const INVERSE_ORDERS: Readonly<Record<StatementOrder, StatementOrder>> = {
    earlier: "later",
    same: "same",
    later: "earlier",
    unordered: "unordered",
};

/** Orders the membership of an epoch against the state after a group of `leftEpoch` was left. */
function orderEpochs(epoch: number, leftEpoch: number | undefined): StatementOrder {
    if (leftEpoch === undefined) {
        return "unordered";
    }
    return epoch <= leftEpoch ? "earlier" : "later";
}

function orderMemberships(membership: GroupMembership, known: GroupMembership): StatementOrder {
    if (membership.epoch !== known.epoch) {
        return membership.epoch < known.epoch ? "earlier" : "later";
    }
    if (membership.group !== known.group) {
        return "unordered";
    }
    if (membership.state === known.state) {
        return "same";
    }
    // A host that has joined a group does not join it again; a head may open and close several times.
    return membership.state === "joining" ? "earlier" : "later";
}
