/**
 * Orders that engines refused as outdated. A refused order to join names no cause: the engine has seen a higher fencing
 * token, or only a higher epoch. A renewal of the lease that began after the refusal tells the two apart, since the store
 * would then give out the higher token.
 */
import type { EngineOrder } from "@damaskvale/core";
import type { EventLog } from "../ports/eventlog.js";
import type { PartitionAssignment } from "../ports/registry.js";
import type { PartitionLease } from "../tasks/partitionlease.js";
import type { Epochs } from "./epochs.js";

/** Collaborators of the record of refusals. */
export interface OutdatedOrdersParts {
    readonly lease: Pick<PartitionLease, "confirmedSince">;
    readonly epochs: Pick<Epochs, "raiseAbove">;
    readonly log: EventLog;
}

/** Refusals of the domains for which this daemon plans. */
export interface OutdatedOrders {
    /** Records that an engine refused an order under a fencing token, at a time in monotonic milliseconds. */
    record(domain: string, order: EngineOrder, fencingToken: number, refusedAt: number): void;
    /** Returns whether orders may be sent under an assignment. */
    mayOrder(domain: string, assignment: PartitionAssignment): boolean;
}

interface Refusal {
    readonly order: EngineOrder;
    readonly fencingToken: number;
    readonly refusedAt: number;
}

/** Creates an empty record. */
export function createOutdatedOrders({ lease, epochs, log }: OutdatedOrdersParts): OutdatedOrders {
    const refusals = new Map<string, Refusal>();
    return {
        record: (domain, order, fencingToken, refusedAt) => {
            refusals.set(domain, { order, fencingToken, refusedAt });
            log.emit("domainFenced", { domain, host: order.host, order: order.kind, fencingToken });
        },
        mayOrder: (domain, { fencingToken }) => {
            const refusal = refusals.get(domain);
            if (refusal === undefined) {
                return true;
            }
            const { order } = refusal;
            const hasNewToken = refusal.fencingToken !== fencingToken;
            const isOwner = hasNewToken || (order.kind === "join" && lease.confirmedSince(refusal.refusedAt));
            if (!isOwner) {
                return false;
            }
            refusals.delete(domain);
            if (order.kind === "join") {
                epochs.raiseAbove(order.epoch);
                log.emit("epochsRaised", { domain, host: order.host, refusedEpoch: order.epoch, fencingToken });
            }
            return true;
        },
    };
}
