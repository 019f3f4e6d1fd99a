/** Base class of relays whose first attempt is admitted, so that the request may wait in this daemon. */
import type { Placement, PlacementCandidate } from "@damaskvale/core";
import { type EndDetails, RelayTask } from "../relay/relaytask.js";
import type { RefusalReason } from "../relay/responses.js";
import { candidatesOf, describeCandidates, groupsSeen, placeStream } from "../relay/streamplacement.js";
import type { QueuedRequest } from "./streamadmission.js";

/** Relay of a request that is sent once it is admitted. */
export abstract class AdmittedRelayTask extends RelayTask {
    /** Time for which the request waited; absent if it was not admitted by priority. */
    protected queuedMilliseconds: number | undefined;
    /** The request while it waits; it has not been sent then. */
    private queued: QueuedRequest | undefined;

    /** Groups as they were known to the decision by which the request is being admitted. */
    private decidedOn: readonly PlacementCandidate[] | undefined;

    /** Sends the request for the first time, or gives up. */
    protected abstract sendOrGiveUp(): void;

    /** Asks for admission, unless the request tries a quarantined subject again or resumes a stream that was admitted. */
    protected admitOrSend(): void {
        const { context, parts } = this;
        if (this.trialOf !== undefined || context.request.lastEventId !== undefined) {
            this.sendOrGiveUp();
            return;
        }
        this.queued = parts.admission.admit(context, {
            groups: () => {
                this.decidedOn = candidatesOf(context, parts);
                return groupsSeen(context, this.decidedOn);
            },
            serve: queuedMilliseconds =>
                this.guard(() => {
                    this.queued = undefined;
                    this.queuedMilliseconds = queuedMilliseconds;
                    this.sendOrGiveUp();
                }),
            refuse: (retryAfterMilliseconds, details) =>
                this.guard(() => {
                    this.queued = undefined;
                    this.giveUp("full", retryAfterMilliseconds, details);
                }),
        });
    }

    /** Places the request at a group that was not tried. */
    protected place(): Placement {
        const candidates = this.decidedOn;
        this.decidedOn = undefined;
        return placeStream(this.context, this.parts, this.tried, candidates);
    }

    /** Takes the request out of the queue because it ends in another way. */
    protected leaveQueue(): void {
        this.decidedOn = undefined;
        this.queued?.drop();
        this.queued = undefined;
    }

    /** Ends a request that waits and has a subject on which targets crash; returns whether it waits. */
    protected endQueued(subject: string): boolean {
        if (this.queued === undefined) {
            return false;
        }
        if (this.context.subjects.includes(subject) && this.isQuarantined()) {
            this.leaveQueue();
            // This daemon may be the one that tries the subject again, with this request.
            if (!this.giveUpIfQuarantined()) {
                this.sendOrGiveUp();
            }
        }
        return true;
    }

    protected override refuseUnsent(): boolean {
        const { queued } = this;
        queued?.refuse();
        return queued !== undefined;
    }

    protected override describeRefusal(reason: RefusalReason): EndDetails {
        return reason === "quarantined" ? {} : { groups: describeCandidates(this.context, this.parts) };
    }
}
