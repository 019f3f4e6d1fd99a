/** Relays an event stream from the head of a group, and resumes it at another group if the route allows it. */
import type { PlacedRequest } from "@damaskvale/core";
import { joinBytes } from "../growingbuffer.js";
import type { ResponseHead } from "../ports/relayprotocol.js";
import type { StreamEvent } from "./eventsplitter.js";
import { type EndDetails, EVACUATED, RelayTask, type StoppableRelay } from "./relaytask.js";
import { type RelayParts, type RequestContext, requestLogFields } from "./requestcontext.js";
import { exceedsUnstatedLength, type RefusalReason, writePaced, writeResponseHead } from "./responses.js";
import { createStreamAttempt, recordWritten, type StreamAttempt } from "./streamattempt.js";
import { describeCandidates, placeStream, recordDemand, refusedRetryMilliseconds } from "./streamplacement.js";
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

class StreamRelayTask extends RelayTask implements StreamRelay {
    private attempt: StreamAttempt | undefined;
    private lastEventId: number | undefined;
    private firstEventAt: number | undefined;
    /** Whether an attempt ended after an event, so that the caller may have the whole stream. */
    private mayBeWhole = false;

    constructor(context: RequestContext, parts: RelayParts, onEnded: () => void) {
        super(context, parts, onEnded);
        this.lastEventId = context.request.lastEventId;
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
            this.sendOrGiveUp();
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
                lastEventId: this.lastEventId,
            });
            this.send(placement);
        }
    }

    cancelIfWaiting(subject: string): void {
        const { attempt } = this;
        if (attempt === undefined || attempt.started || attempt.isPassthrough || this.trialOf === subject) {
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

    private sendOrGiveUp(): void {
        const placement = placeStream(this.context, this.parts, this.tried);
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
            lastEventId: this.lastEventId,
            inProgressThere: parts.loadTracker.get(headId)?.inProgress,
            trialOf: this.trialOf,
        });
        const headers = parts.protocol.encodeForTarget(context.request, {
            target: headId,
            remainingMilliseconds: context.deadlineAt - now,
            team: context.admitted.team?.name,
            lastEventId: this.lastEventId,
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

    /**
     * Writes the head of a response unless the caller has one. It waits for the first bytes of the body, which would be
     * sent together with it anyway, so that a failure before them can still be answered with a status.
     */
    private openResponse({ opening }: StreamAttempt): void {
        const { response } = this.context;
        if (!response.headersSent && opening !== undefined) {
            writeResponseHead(response, opening.head, opening.headers);
        }
    }

    private receiveData(attempt: StreamAttempt, chunk: Buffer): void {
        const now = this.parts.clock.monotonic();
        this.parts.reachability.recordReached();
        if (attempt.isPassthrough) {
            this.passThrough(attempt, chunk);
            return;
        }
        const events = attempt.splitter.push(chunk);
        if (!events.every(({ isWellFormed }) => isWellFormed)) {
            this.abandon(attempt, "not-an-event");
            return;
        }
        const withContent = events.filter(({ hasContent }) => hasContent).length;
        if (withContent > 0) {
            this.recordProgress(attempt, withContent, now);
        }
        const delivered: Buffer[] = [];
        const inOrder = events.every(event => this.accept(event, delivered));
        if (delivered.length > 0) {
            this.openResponse(attempt);
            // Thousands of tiny events may arrive together, and a write costs far more than an event.
            writePaced(this.context.response, joinBytes(delivered), attempt.exchange);
        }
        if (!inOrder) {
            this.abandon(attempt, "event-missing");
            return;
        }
        if (attempt.splitter.isOversized()) {
            this.abandon(attempt, "event-too-long");
            return;
        }
        attempt.exchange?.pauseFor(attempt.eventRate.read(events.length, chunk.length, now));
    }

    private passThrough(attempt: StreamAttempt, chunk: Buffer): void {
        attempt.passedThroughBytes += chunk.length;
        if (exceedsUnstatedLength(attempt.opening?.head, attempt.passedThroughBytes)) {
            this.abandon(attempt, "body-too-long");
            return;
        }
        this.openResponse(attempt);
        writePaced(this.context.response, chunk, attempt.exchange);
    }

    private recordProgress(attempt: StreamAttempt, events: number, now: number): void {
        const { context, parts } = this;
        if (!attempt.started) {
            attempt.started = true;
            this.firstEventAt ??= now;
            parts.loadTracker.started(attempt.head, context.request.promptTokens, now);
        }
        parts.loadTracker.progressed(attempt.head, now);
        attempt.observed.progressed();
        const slowness = attempt.pauses.record(events, now);
        if (slowness !== undefined) {
            parts.speeds.record(attempt.head, slowness);
        }
    }

    /** Adds an event to those for the caller unless it has it already. Returns false if an earlier event is missing. */
    private accept({ id, bytes }: StreamEvent, delivered: Buffer[]): boolean {
        const last = this.lastEventId ?? 0;
        if (id !== undefined && id <= last) {
            return true;
        }
        if (id !== undefined && id > last + 1) {
            return false;
        }
        this.lastEventId = id ?? this.lastEventId;
        delivered.push(bytes);
        return true;
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
        this.openResponse(attempt);
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
            lastEventId: this.lastEventId,
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
        if (!attempt.isReleased) {
            attempt.isReleased = true;
            attempt.observed.dropped();
            this.parts.loadTracker.ended(attempt.head, this.context.request.promptTokens, attempt.started);
        }
        if (this.attempt === attempt) {
            this.attempt = undefined;
        }
    }

    protected override describeRefusal(reason: RefusalReason): EndDetails {
        return reason === "quarantined" ? {} : { groups: describeCandidates(this.context, this.parts) };
    }

    protected cancelAttempt(): void {
        const { attempt } = this;
        if (attempt !== undefined) {
            this.release(attempt);
            attempt.exchange?.cancel();
        }
    }

    protected override finish(outcome: string, details: EndDetails = {}): void {
        this.parts.stalledHeads.release(this.context);
        super.finish(outcome, {
            lastEventId: this.lastEventId,
            ...details,
            firstEventMilliseconds: this.firstEventAt === undefined ? undefined : this.elapsed(this.firstEventAt),
        });
    }
}
