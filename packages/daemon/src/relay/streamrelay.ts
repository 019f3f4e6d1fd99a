/** Relays an event stream from the head of a group, and resumes it at another group if the route allows it. */
import type { PlacedRequest } from "@damaskvale/core";
import type { ResponseHead } from "../ports/relayprotocol.js";
import { AdmittedRelayTask } from "../shedding/admittedrelay.js";
import { type EndDetails, EVACUATED, type StoppableRelay } from "./relaytask.js";
import { type RelayParts, type RequestContext, requestLogFields, statedPriority } from "./requestcontext.js";
import { createStreamAttempt, recordWritten, type StreamAttempt } from "./streamattempt.js";
import { StreamDelivery } from "./streamdelivery.js";
import { placeStream, recordDemand, refusedRetryMilliseconds } from "./streamplacement.js";
import { recordProgress, releaseAttempt } from "./streamprogress.js";
import { isLostConnection, isRefusedConnection } from "./targetconnections.js";

/** A stream in progress, as the stall detector sees it. */
export interface StreamRelay extends StoppableRelay {
    /** Sends the request, or refuses it before this returns. */
    start(): void;
    /** Head that currently serves the stream. */
    head(): string | undefined;
    /** Moves the stream to another group if one can take it. */
    moveToAnotherGroup(): void;
    /** Cancels the attempt and gives up if the request has a subject that is quarantined and waits for its first event. */
    cancelIfWaiting(subject: string): void;
}

/** Creates the relay of a stream; `onEnded` is called exactly once after its start, when the request has ended. */
export function createStreamRelay(context: RequestContext, parts: RelayParts, onEnded: () => void): StreamRelay {
    return new StreamRelayTask(context, parts, onEnded);
}

class StreamRelayTask extends AdmittedRelayTask implements StreamRelay {
    private attempt: StreamAttempt | undefined;
    private readonly delivery: StreamDelivery;
    private firstEventAt: number | undefined;
    /** Whether an attempt ended after an event, so that the caller may have the whole stream. */
    private mayBeWhole = false;

    constructor(context: RequestContext, parts: RelayParts, onEnded: () => void) {
        super(context, parts, onEnded);
        this.delivery = new StreamDelivery(context.response, context.request.lastEventId);
        context.response.on("drain", () => {
            this.attempt?.observed.paused();
            this.attempt?.pauses.interrupt();
            this.attempt?.exchange?.resume();
        });
    }

    start(): void {
        this.parts.budgetOf(this.context.service).recordFirstAttempt(this.parts.clock.monotonic());
        if (!this.giveUpIfQuarantined()) {
            recordDemand(this.context, this.parts);
            this.admitOrSend();
        }
    }

    head(): string | undefined {
        return this.attempt?.head;
    }

    moveToAnotherGroup(): void {
        const stalled = this.attempt;
        if (stalled === undefined || stalled.isPassthrough || !this.mayRetry() || this.isQuarantined()) {
            return;
        }
        const placement = placeStream(this.context, this.parts, this.tried);
        if (placement.kind === "placed" && this.withdrawRetry()) {
            this.mayHaveRun ||= stalled.sent;
            this.release(stalled);
            this.parts.stalledHeads.keep(this.context, stalled);
            this.parts.connections.renew(stalled.target.address);
            this.parts.log.emit("streamMoved", {
                ...requestLogFields(this.context),
                from: stalled.head,
                to: placement.head,
                lastEventId: this.delivery.lastEventId,
            });
            this.send(placement);
        }
    }

    cancelIfWaiting(subject: string): void {
        const { attempt } = this;
        if (
            this.endQueued(subject)
            || attempt === undefined
            || attempt.started
            || attempt.isPassthrough
            || this.trialOf === subject
        ) {
            return;
        }
        if (this.context.subjects.includes(subject) && this.isQuarantined()) {
            this.mayHaveRun ||= attempt.sent;
            this.sends -= attempt.written ? 0 : 1;
            this.release(attempt);
            attempt.exchange?.cancel();
            this.giveUpIfQuarantined();
        }
    }

    protected mayRepeat(): boolean {
        return this.context.admitted.route.resumable;
    }

    private mayRetry(): boolean {
        const { route } = this.context.admitted;
        const mayHaveRun = this.mayHaveRun || this.attempt?.sent === true;
        return (route.resumable || !mayHaveRun) && this.sends < route.maximumAttempts;
    }

    protected sendOrGiveUp(): void {
        const placement = this.place();
        if (placement.kind === "refused") {
            this.giveUp(placement.reason, placement.retryAfterMilliseconds);
            return;
        }
        if (!this.withdrawRetry()) {
            this.giveUp("budget", refusedRetryMilliseconds(this.context, this.parts));
            return;
        }
        this.send(placement);
    }

    private send({ head: headId, passMilliseconds }: PlacedRequest): void {
        const { context, parts } = this;
        const target = parts.state.targetById(headId);
        if (target === undefined) {
            this.giveUp("no-group", refusedRetryMilliseconds(this.context, this.parts));
            return;
        }
        const now = parts.clock.monotonic();
        const priority = statedPriority(context);
        const observed = parts.requestQuarantine.observe(target, context.subjects);
        const attempt = createStreamAttempt(target, observed, { sentAt: now, passMilliseconds });
        this.attempt = attempt;
        this.tried.push(headId);
        this.sends += 1;
        parts.availability.recordSent(target);
        parts.loadTracker.sent(headId, { promptTokens: context.request.promptTokens, stream: true }, now);
        parts.log.emit("streamSent", {
            ...requestLogFields(context),
            target: headId,
            attempt: this.sends,
            lastEventId: this.delivery.lastEventId,
            inProgressThere: parts.loadTracker.get(headId)?.inProgress,
            trialOf: this.trialOf,
            priority,
            queuedMilliseconds: priority === undefined ? undefined : this.queuedMilliseconds,
        });
        const headers = parts.protocol.encodeForTarget(context.request, {
            target: headId,
            remainingMilliseconds: context.deadlineAt - now,
            team: context.admitted.team?.name,
            lastEventId: this.delivery.lastEventId,
            priority,
        });
        const { method, path } = context.request;
        attempt.exchange = parts.connections.send(
            target.address,
            { method, path, headers, body: context.body, onNewConnection: false },
            parts.stalledHeads.receiverOf(attempt, {
                sent: () =>
                    parts.state.isEvacuated(target.dataCentre)
                        ? this.abandon(attempt, EVACUATED)
                        : recordWritten(attempt),
                head: head => this.receiveHead(attempt, head),
                data: chunk => this.receiveData(attempt, chunk),
                ended: () => this.receiveEnd(attempt),
                failed: error => this.receiveFailure(attempt, error),
            }),
        );
    }

    private receiveHead(attempt: StreamAttempt, head: ResponseHead): void {
        const { context, parts } = this;
        parts.reachability.recordReached();
        const decoded = parts.protocol.decodeResponse(head);
        if (this.isForeign(head, decoded)) {
            this.abandon(attempt, "foreign-answer");
            return;
        }
        if (decoded.misdirected) {
            parts.headUnusable(attempt.head);
        }
        else {
            parts.availability.recordResponse(attempt, { status: head.status, statements: decoded.statements });
        }
        if (decoded.notRun) {
            attempt.sent = false;
            this.abandon(attempt, `refused with ${head.status}`);
            return;
        }
        const success = head.status >= 200 && head.status < 300;
        if (!success && (this.mayRetry() || context.response.headersSent)) {
            this.abandon(attempt, `status ${head.status}`);
            return;
        }
        attempt.isPassthrough = !success;
        attempt.opening = { head, headers: decoded.forwarded };
    }

    private receiveData(attempt: StreamAttempt, chunk: Buffer): void {
        const now = this.parts.clock.monotonic();
        this.parts.reachability.recordReached();
        if (attempt.isPassthrough) {
            if (!this.delivery.passThrough(attempt, chunk)) {
                this.abandon(attempt, "body-too-long");
            }
            return;
        }
        const events = attempt.splitter.push(chunk);
        if (!events.every(({ isWellFormed }) => isWellFormed)) {
            this.abandon(attempt, "not-an-event");
            return;
        }
        const withContent = events.filter(({ hasContent }) => hasContent).length;
        if (withContent > 0) {
            this.firstEventAt ??= now;
            recordProgress(this.context, this.parts, attempt, { events: withContent, at: now });
        }
        if (!this.delivery.deliver(attempt, events)) {
            this.abandon(attempt, "event-missing");
            return;
        }
        if (attempt.splitter.isOversized()) {
            this.abandon(attempt, "event-too-long");
            return;
        }
        attempt.exchange?.pauseFor(attempt.eventRate.read(events.length, chunk.length, now));
    }

    private receiveEnd(attempt: StreamAttempt): void {
        const isDelimited = attempt.opening?.head.delimited !== false;
        const isNothingLeft = this.mayBeWhole && isDelimited;
        if (
            !attempt.isPassthrough
            && (attempt.splitter.hasPartialEvent() || !(attempt.started || isNothingLeft))
        ) {
            if (!isDelimited) {
                attempt.observed.connectionLost();
            }
            this.attemptFailed(attempt, "ended inside an event");
            return;
        }
        if (attempt.isPassthrough || isDelimited) {
            this.complete(attempt);
            return;
        }
        void this.parts.isTargetAlive(attempt.target).then(isAlive =>
            this.guard(() => this.receiveEndOfConnection(attempt, isAlive))
        );
    }

    /**
     * Decides on an answer that ended with its connection after an event. It is whole by the protocol, unless its process has
     * ended: the operating system then closes the connection in the same way, wherever the stream was.
     */
    private receiveEndOfConnection(attempt: StreamAttempt, isTargetAlive: boolean): void {
        if (attempt.isReleased || this.isFinished) {
            return;
        }
        if (isTargetAlive) {
            this.complete(attempt);
            return;
        }
        this.mayBeWhole = true;
        attempt.observed.connectionLost();
        this.attemptFailed(attempt, "ended with its process");
    }

    private complete(attempt: StreamAttempt): void {
        if (!attempt.isPassthrough) {
            attempt.observed.completed();
        }
        this.release(attempt);
        this.delivery.open(attempt);
        this.context.response.end();
        this.finish("complete");
    }

    private receiveFailure(attempt: StreamAttempt, error: Error): void {
        this.recordConnectionFailure(attempt.head, attempt.written, error);
        if (isRefusedConnection(error)) {
            this.parts.headUnusable(attempt.head);
        }
        if (isLostConnection(error)) {
            attempt.observed.connectionLost();
        }
        this.attemptFailed(attempt, error.message);
    }

    private abandon(attempt: StreamAttempt, reason: string): void {
        attempt.exchange?.cancel();
        this.attemptFailed(attempt, reason);
    }

    private attemptFailed(attempt: StreamAttempt, reason: string): void {
        if (attempt.isReleased || this.isFinished) {
            return;
        }
        this.mayHaveRun ||= attempt.sent;
        // A target that accepted no connection was not sent the request, so the attempt does not count.
        this.sends -= attempt.written ? 0 : 1;
        this.release(attempt);
        this.parts.log.emit("attemptFailed", {
            ...requestLogFields(this.context),
            target: attempt.head,
            reason,
            sent: attempt.sent,
            lastEventId: this.delivery.lastEventId,
        });
        if (attempt.isPassthrough || !this.mayRetry()) {
            this.giveUp("not-run", refusedRetryMilliseconds(this.context, this.parts));
            return;
        }
        if (!this.giveUpIfQuarantined()) {
            this.sendOrGiveUp();
        }
    }

    private release(attempt: StreamAttempt): void {
        releaseAttempt(this.context, this.parts, attempt);
        if (this.attempt === attempt) {
            this.attempt = undefined;
        }
    }

    protected cancelAttempt(): void {
        this.leaveQueue();
        const { attempt } = this;
        if (attempt !== undefined) {
            this.release(attempt);
            attempt.exchange?.cancel();
        }
    }

    protected override finish(outcome: string, details: EndDetails = {}): void {
        this.parts.stalledHeads.release(this.context);
        super.finish(outcome, {
            lastEventId: this.delivery.lastEventId,
            ...details,
            firstEventMilliseconds: this.firstEventAt === undefined ? undefined : this.elapsed(this.firstEventAt),
        });
    }
}
