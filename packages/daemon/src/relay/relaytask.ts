/** What the relays of all kinds of requests have in common: one end, a deadline, and a caller that may leave. */
import { writeFailure } from "./answers.js";
import { identify, type RelayParts, type RequestContext } from "./context.js";

/** Fields of the log line about the end of a request. */
export type EndDetails = Readonly<Record<string, unknown>>;

/** Why an attempt is no longer wanted. */
export type CancelReason = "deadline" | "caller-left";

/** Relay of one request. */
export abstract class RelayTask {
    /** Targets that the request was sent to. */
    protected sends = 0;
    /** Whether a target of an earlier attempt may have run the request. */
    protected mayHaveRun = false;
    /** Whether the request has ended. */
    protected over = false;
    private readonly deadline: NodeJS.Timeout;

    /** `ended` is called once when nothing more will happen. */
    constructor(
        protected readonly context: RequestContext,
        protected readonly parts: RelayParts,
        private readonly ended: () => void,
    ) {
        this.deadline = setTimeout(() => this.expire(), Math.max(0, context.deadlineAt - parts.clock.monotonic()));
        context.response.on("close", () => this.callerLeft());
    }

    /** Ends the attempt in progress, if there is one. */
    protected abstract cancelAttempt(reason: CancelReason): void;

    /** Takes one repeat from the budget; the first send needs none. */
    protected takeFromBudget(): boolean {
        return this.sends === 0 || this.parts.budgetOf(this.context.service).tryWithdraw(this.parts.clock.monotonic());
    }

    protected finish(outcome: string, details: EndDetails = {}): void {
        if (this.over) {
            return;
        }
        this.over = true;
        clearTimeout(this.deadline);
        this.parts.log.emit("requestEnded", {
            ...identify(this.context),
            outcome,
            sends: this.sends,
            ...details,
            milliseconds: this.elapsed(this.parts.clock.monotonic()),
        });
        this.ended();
    }

    /** Milliseconds from the request's arrival to a time. */
    protected elapsed(at: number): number {
        return Math.round(at - this.context.receivedAt);
    }

    private expire(): void {
        if (this.over) {
            return;
        }
        this.cancelAttempt("deadline");
        if (this.context.response.headersSent) {
            this.context.response.destroy();
        }
        else {
            writeFailure(this.context.response, "deadline");
        }
        this.finish("deadline");
    }

    private callerLeft(): void {
        if (this.over) {
            return;
        }
        this.cancelAttempt("caller-left");
        this.finish("caller-left");
    }
}
