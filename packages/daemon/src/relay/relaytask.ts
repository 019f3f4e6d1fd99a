/** Base class of the relays: enforces the deadline, detects a caller that disconnects, and ends each request once. */
import type { DecodedResponse, ResponseHead } from "../ports/relayprotocol.js";
import { type RelayParts, type RequestContext, requestLogFields } from "./requestcontext.js";
import {
    breakOff,
    type RefusalReason,
    writeFailure,
    writeInternalError,
    writeRefusal,
    writeShutdown,
} from "./responses.js";
import { isLostConnection, type TargetConnections } from "./targetconnections.js";
import { startTimer } from "./timers.js";

/** Additional fields of the `requestEnded` event. */
export type EndDetails = Readonly<Record<string, unknown>>;

/** Why an attempt is cancelled. */
export type CancelReason = "deadline" | "caller-left" | "error" | "shutdown";

/** Reasons to refuse a request that another daemon may be able to serve, if this one does not reach the targets. */
const HANDED_OVER_REASONS: ReadonlySet<RefusalReason> = new Set(["no-group", "no-target", "not-run"]);

/** Reason of an attempt that fails because the data centre was evacuated while the request waited for a connection. */
export const EVACUATED = "evacuated";

/** Relay that can be ended from outside. */
export interface StoppableRelay {
    /** Runs a step of the request; an error that it throws ends the request. */
    guard(step: () => void): void;
    /** Ends the request because the daemon stops, with a response that states the truth if none has begun. */
    stop(): void;
}

/** Relay of one request. */
export abstract class RelayTask implements StoppableRelay {
    /** Number of attempts that count towards the route's limit. */
    protected sends = 0;
    /** Whether a target of an earlier attempt may have run the request. */
    protected mayHaveRun = false;
    /** Whether the request has ended. */
    protected isFinished = false;
    /** Ids of the targets to which it was sent or that refused its connection. */
    protected readonly tried: string[] = [];
    /** Quarantined subject that this request tries again. */
    protected trialOf: string | undefined;
    /** Whether a target could not be reached for this request. */
    private hasMissedTarget = false;
    protected readonly parts: RelayParts;
    /** Whether the request was written to the target of the latest attempt. */
    private isLatestSent = false;
    private readonly deadline: NodeJS.Timeout;

    /** `onEnded` is called exactly once, when the request has ended. */
    constructor(
        protected readonly context: RequestContext,
        parts: RelayParts,
        private readonly onEnded: () => void,
    ) {
        this.parts = { ...parts, connections: this.guardConnections(parts.connections) };
        // Timers run before sockets are read: a response that has arrived meanwhile is read before the request expires.
        const expire = (): void => void setImmediate(() => this.guard(() => this.expire()));
        this.deadline = startTimer(expire, context.deadlineAt - parts.clock.monotonic());
        context.response.on("close", () => this.guard(() => this.callerLeft()));
        context.response.on("error", error => this.fail(error));
    }

    /** Runs a step of this request. An error that it throws ends the request, with a response that states the truth. */
    guard(step: () => void): void {
        try {
            step();
        }
        catch (error) {
            this.fail(error);
        }
    }

    stop(): void {
        if (!this.isFinished) {
            const isCancelled = this.tryToCancel("shutdown");
            this.finish("shutdown");
            writeShutdown(this.context.response, this.mayHaveRun || this.isLatestSent || !isCancelled);
        }
    }

    /** Cancels the attempt in progress, if there is one. */
    protected abstract cancelAttempt(reason: CancelReason): void;

    /** Refuses a request that has not been sent at its deadline; returns whether it did. */
    protected refuseUnsent(): boolean {
        return false;
    }

    /** Returns what the log says of a refusal besides its reason. */
    protected describeRefusal(...[]: [reason: RefusalReason]): EndDetails {
        return {};
    }

    /** Hands the request over, or ends it without a response of a target, in a way that states the truth. */
    protected giveUp(reason: RefusalReason, retryAfterMilliseconds: number, details: EndDetails = {}): void {
        const { response } = this.context;
        if (this.tryToHandOver(reason)) {
            return;
        }
        if (response.headersSent) {
            breakOff(response);
            this.finish("broken-off", details);
            return;
        }
        if (this.mayHaveRun) {
            writeFailure(response, reason === "quarantined" ? reason : "target-failed");
            this.finish("failed", details);
            return;
        }
        writeRefusal(response, reason, retryAfterMilliseconds);
        this.finish(`refused: ${reason}`, { retryAfterMilliseconds, ...this.describeRefusal(reason), ...details });
    }

    /** Whether the request may be run once more although a target may have run it. */
    protected abstract mayRepeat(): boolean;

    /** Records the end of a connection without a whole response; `sent` is whether the request was written to it. */
    protected recordConnectionFailure(target: string, sent: boolean, error: Error): void {
        if (!sent || isLostConnection(error)) {
            this.hasMissedTarget = true;
            this.parts.reachability.recordMissed(target);
        }
    }

    private isUnreachable(): boolean {
        return this.hasMissedTarget || this.parts.reachability.isCutOff();
    }

    /** Whether the loss of the connection was one of all, so that a retry through another daemon is worth the budget. */
    private mayRepeatElsewhere(): boolean {
        return this.mayRepeat() && this.parts.reachability.isCutOff() && this.withdrawRetry();
    }

    /** Hands the request to another daemon if this one may not reach the targets; returns whether it did. */
    private tryToHandOver(reason: RefusalReason): boolean {
        if (this.isFinished || this.context.response.headersSent || !HANDED_OVER_REASONS.has(reason)) {
            return false;
        }
        if (
            !(this.mayHaveRun ? this.mayRepeatElsewhere() : this.isUnreachable())
            || !this.context.handOver(this.mayHaveRun)
        ) {
            return false;
        }
        this.isFinished = true;
        clearTimeout(this.deadline);
        this.onEnded();
        return true;
    }

    /**
     * Whether a response belongs to another request. Targets name the request in each response; on a kept connection, one
     * that names none may be an earlier response that a faulty target sends once more.
     */
    protected isForeign({ onKeptConnection = false }: ResponseHead, { requestId }: DecodedResponse): boolean {
        return requestId === undefined ? onKeptConnection : requestId !== this.context.request.id;
    }

    /** Whether targets crash on a subject of the request, so that it is not sent again. */
    protected isQuarantined(): boolean {
        return this.parts.requestQuarantine.check(this.context.subjects, false).kind === "refused";
    }

    /** Gives up if targets crash on a subject of the request; returns whether it did. */
    protected giveUpIfQuarantined(): boolean {
        const verdict = this.parts.requestQuarantine.check(this.context.subjects, this.tried.length === 0);
        this.trialOf = verdict.kind === "trial" ? verdict.part : undefined;
        if (verdict.kind !== "refused") {
            return false;
        }
        this.giveUp("quarantined", verdict.retryAfterMilliseconds, { part: verdict.part });
        return true;
    }

    /** Withdraws one retry from the budget; the first attempt is free. Returns whether the attempt may be made. */
    protected withdrawRetry(): boolean {
        return this.sends === 0 || this.parts.budgetOf(this.context.service).tryWithdraw(this.parts.clock.monotonic());
    }

    protected finish(outcome: string, details: EndDetails = {}): void {
        if (this.isFinished) {
            return;
        }
        this.isFinished = true;
        clearTimeout(this.deadline);
        this.parts.log.emit("requestEnded", {
            ...requestLogFields(this.context),
            outcome,
            sends: this.sends,
            ...details,
            milliseconds: this.elapsed(this.parts.clock.monotonic()),
        });
        this.onEnded();
    }

    /** Milliseconds from the arrival of the request to the monotonic time `at`. */
    protected elapsed(at: number): number {
        return Math.round(at - this.context.receivedAt);
    }

    /** Guards the calls that arrive from the event loop, where an error would end the process. */
    private guardConnections(connections: TargetConnections): TargetConnections {
        return {
            ...connections,
            send: (address, request, receiver) => {
                this.isLatestSent = false;
                return connections.send(address, request, {
                    sent: () => {
                        this.isLatestSent = true;
                        this.guard(() => receiver.sent());
                    },
                    head: head => this.guard(() => receiver.head(head)),
                    data: chunk => this.guard(() => receiver.data(chunk)),
                    ended: () => this.guard(() => receiver.ended()),
                    failed: error => this.guard(() => receiver.failed(error)),
                });
            },
        };
    }

    private fail(error: unknown): void {
        this.parts.log.emit("requestFailed", { ...requestLogFields(this.context), error });
        if (this.isFinished) {
            return;
        }
        const isCancelled = this.tryToCancel("error");
        this.finish("error");
        writeInternalError(this.context.response, this.mayHaveRun || this.isLatestSent || !isCancelled);
    }

    /** Returns whether the attempt in progress, if there is one, can do nothing any more. */
    private tryToCancel(reason: CancelReason): boolean {
        try {
            this.cancelAttempt(reason);
            return true;
        }
        catch {
            return false;
        }
    }

    private expire(): void {
        if (this.isFinished || this.refuseUnsent()) {
            return;
        }
        this.cancelAttempt("deadline");
        if (this.context.response.headersSent) {
            breakOff(this.context.response);
        }
        else {
            writeFailure(this.context.response, "deadline");
        }
        this.finish("deadline");
    }

    private callerLeft(): void {
        if (this.isFinished) {
            return;
        }
        this.cancelAttempt("caller-left");
        this.finish("caller-left");
    }
}
