/** Base class of the relays: enforces the deadline, detects a caller that disconnects, and ends each request once. */
import { type RelayParts, type RequestContext, requestLogFields } from "./requestcontext.js";
import { breakOff, writeFailure } from "./responses.js";

/** Additional fields of the `requestEnded` event. */
export type EndDetails = Readonly<Record<string, unknown>>;

/** Why an attempt is cancelled. */
export type CancelReason = "deadline" | "caller-left";

/** Relay of one request. */
export abstract class RelayTask {
    /** Number of attempts that count towards the route's limit. */
    protected sends = 0;
    /** Whether a target of an earlier attempt may have run the request. */
    protected mayHaveRun = false;
    /** Whether the request has ended. */
    protected isFinished = false;
    private readonly deadline: NodeJS.Timeout;

    /** `onEnded` is called exactly once, when the request has ended. */
    constructor(
        protected readonly context: RequestContext,
        protected readonly parts: RelayParts,
        private readonly onEnded: () => void,
    ) {
        // Timers run before sockets are read: a response that has arrived meanwhile is read before the request expires.
        const expire = (): void => void setImmediate(() => this.expire());
        this.deadline = setTimeout(expire, Math.max(0, context.deadlineAt - parts.clock.monotonic()));
        context.response.on("close", () => this.callerLeft());
    }

    /** Cancels the attempt in progress, if there is one. */
    protected abstract cancelAttempt(reason: CancelReason): void;

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

    private expire(): void {
        if (this.isFinished) {
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
