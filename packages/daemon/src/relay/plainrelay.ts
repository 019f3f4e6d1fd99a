/** Relays a request to a plain target and returns the complete response. */
import { limitedRetryMilliseconds, type Target } from "@damaskvale/core";
import type { DecodedResponse, ResponseHead } from "../ports/relayprotocol.js";
import { concludeObservation, createPlainAttempt, type PlainAttempt } from "./plainattempt.js";
import {
    chooseAmong,
    recordAnswer,
    recordFailure,
    recordSpeed,
    untriedTargets,
    waitsOfTargets,
} from "./plaintargets.js";
import { type CancelReason, EVACUATED, RelayTask, type StoppableRelay } from "./relaytask.js";
import { type RelayParts, type RequestContext, requestLogFields, statedPriority } from "./requestcontext.js";
import {
    breakOff,
    exceedsUnstatedLength,
    NOT_RUN_STATUSES,
    type RefusalReason,
    writeFailure,
    writePaced,
    writeResponseHead,
} from "./responses.js";
import { isLostConnection } from "./targetconnections.js";
import { startTimer } from "./timers.js";
import { endsInsideEvent, lastBytesOf, wholeEventsOf } from "./wholeevents.js";

/** `Retry-After` of a request that every target refused. */
const REFUSED_RETRY_AFTER_MILLISECONDS = 300;
/** `Retry-After` while no target of the service is registered. */
const NO_TARGET_RETRY_AFTER_MILLISECONDS = 1_000;
/** Body that is kept until it is complete, so that the request can be sent to another target if it is cut off. */
const KEPT_BODY_BYTES = 262_144;

/** A request in progress. */
export interface PlainRelay extends StoppableRelay {
    /** Sends the request, or refuses it before this returns. */
    start(): void;
}

/** Creates the relay of a request; `onEnded` is called exactly once after its start, when the request has ended. */
export function createPlainRelay(context: RequestContext, parts: RelayParts, onEnded: () => void): PlainRelay {
    return new PlainRelayTask(context, parts, onEnded);
}

class PlainRelayTask extends RelayTask implements PlainRelay {
    private attempt: PlainAttempt | undefined;
    /** Whether the budget has given the next attempt already. */
    private isRetryWithdrawn = false;

    start(): void {
        this.context.response.on("drain", () => this.attempt?.exchange?.resume());
        this.parts.budgetOf(this.context.service).recordFirstAttempt(this.parts.clock.monotonic());
        this.sendOrGiveUp("no-target", NO_TARGET_RETRY_AFTER_MILLISECONDS);
    }

    private isRepeatable(): boolean {
        return this.context.admitted.route.kind === "repeatable";
    }

    private sendOrGiveUp(reason: RefusalReason, retryAfterMilliseconds: number): void {
        const { route } = this.context.admitted;
        const target = this.chooseTarget();
        const waits = target === undefined ? waitsOfTargets(this.context, this.tried, this.sends, this.parts) : [];
        if (waits.length > 0 && waits.every(milliseconds => milliseconds > 0)) {
            this.giveUp("limited", limitedRetryMilliseconds(waits, this.parts.random));
            return;
        }
        if (target === undefined || this.sends >= route.maximumAttempts || (this.mayHaveRun && !this.isRepeatable())) {
            this.giveUp(reason, retryAfterMilliseconds);
            return;
        }
        if (this.giveUpIfQuarantined()) {
            return;
        }
        const mayRetry = this.isRetryWithdrawn || this.withdrawRetry();
        this.isRetryWithdrawn = false;
        if (!mayRetry) {
            this.giveUp("budget", REFUSED_RETRY_AFTER_MILLISECONDS);
            return;
        }
        this.send(target);
    }

    /** Returns the least loaded target that has not been tried and takes a request now. */
    private chooseTarget(): Target | undefined {
        return chooseAmong(untriedTargets(this.context, this.tried, this.parts), this.parts);
    }

    private send(target: Target): void {
        const { context, parts } = this;
        const now = parts.clock.monotonic();
        const observed = parts.requestQuarantine.observe(target, context.subjects);
        const attempt = createPlainAttempt(target, observed, now);
        this.attempt = attempt;
        this.tried.push(target.id);
        this.sends += 1;
        parts.availability.recordSent(target);
        parts.loadTracker.sent(target.id, { promptTokens: 0, stream: false }, now);
        parts.log.emit("requestSent", {
            ...requestLogFields(context),
            target: target.id,
            attempt: this.sends,
            trialOf: this.trialOf,
        });
        const { method, path } = context.request;
        const headers = parts.protocol.encodeForTarget(context.request, {
            target: target.id,
            remainingMilliseconds: context.deadlineAt - now,
            team: context.admitted.team?.name,
            priority: statedPriority(context),
        });
        attempt.exchange = parts.connections.send(
            target.address,
            { method, path, headers, body: context.body, onNewConnection: !this.isRepeatable() },
            {
                sent: () => {
                    if (parts.state.isEvacuated(target.dataCentre)) {
                        attempt.exchange?.cancel();
                        this.attemptFailed(attempt, EVACUATED);
                        return;
                    }
                    attempt.sent = true;
                    observed.sent();
                },
                head: head => this.receiveHead(attempt, head),
                data: chunk => this.receiveData(attempt, chunk),
                ended: () => this.receiveEnd(attempt),
                failed: error => this.receiveFailure(attempt, error),
            },
        );
    }

    private receiveHead(attempt: PlainAttempt, head: ResponseHead): void {
        this.parts.reachability.recordReached();
        attempt.head = head;
        attempt.decoded = this.parts.protocol.decodeResponse(head);
        if (this.isForeign(head, attempt.decoded)) {
            attempt.exchange?.cancel();
            this.attemptFailed(attempt, "foreign-answer");
            return;
        }
        if (!attempt.decoded.misdirected) {
            const { statements } = attempt.decoded;
            attempt.observed.answered();
            this.parts.availability.recordResponse(attempt, { status: head.status, statements });
        }
    }

    private receiveData(attempt: PlainAttempt, chunk: Buffer): void {
        attempt.bodyBytes += chunk.length;
        if (attempt.head?.delimited === false) {
            attempt.lastBytes = lastBytesOf(attempt.lastBytes, chunk);
        }
        if (this.isFinished) {
            return;
        }
        if (attempt.isPassedOn) {
            this.passOn(attempt, chunk);
            return;
        }
        attempt.kept.append(chunk);
        if (attempt.bodyBytes > KEPT_BODY_BYTES) {
            this.receiveLargeBody(attempt);
        }
    }

    /**
     * Decides on a body that is too large to be kept. Without a stated length it may be endless, so that another target is
     * tried first. Otherwise it is passed on as it arrives.
     */
    private receiveLargeBody(attempt: PlainAttempt): void {
        const { head, decoded } = attempt;
        if (head === undefined || decoded === undefined) {
            return;
        }
        if (!this.mayDeliver(head, decoded)) {
            attempt.exchange?.cancel();
            this.receiveEnd(attempt);
            return;
        }
        const length = head.headers["content-length"];
        if (length === undefined && this.canRetry() && this.withdrawRetry()) {
            this.isRetryWithdrawn = true;
            attempt.exchange?.cancel();
            this.attemptFailed(attempt, "body-too-long");
            return;
        }
        const headers = length === undefined ? [] : ["Content-Length", length];
        writeResponseHead(this.context.response, head, [...decoded.forwarded, ...headers]);
        attempt.isPassedOn = true;
        this.passOn(attempt, attempt.kept.take());
    }

    private passOn(attempt: PlainAttempt, bytes: Buffer): void {
        if (exceedsUnstatedLength(attempt.head, attempt.bodyBytes)) {
            attempt.exchange?.cancel();
            this.attemptFailed(attempt, "body-too-long");
            return;
        }
        writePaced(this.context.response, bytes, attempt.exchange);
    }

    private receiveEnd(attempt: PlainAttempt): void {
        const { head, decoded } = attempt;
        if (endsInsideEvent(attempt, this.context)) {
            this.receivePartialEvent(attempt);
            return;
        }
        concludeObservation(attempt);
        recordAnswer(attempt, this.parts);
        recordSpeed(attempt, this.context.admitted.route.name, this.parts);
        if (this.isFinished) {
            return;
        }
        if (head === undefined || decoded === undefined) {
            this.attemptFailed(attempt, "no answer");
            return;
        }
        if (attempt.isPassedOn) {
            this.release(attempt);
            this.context.response.end();
            this.finish(`status ${head.status}`);
            return;
        }
        if (decoded.notRun) {
            this.release(attempt);
            this.logFailure(attempt, `refused with ${head.status}`);
            this.sendOrGiveUp("not-run", REFUSED_RETRY_AFTER_MILLISECONDS);
            return;
        }
        if (head.status >= 500 && this.canRetry()) {
            this.attemptFailed(attempt, `status ${head.status}`);
            return;
        }
        this.release(attempt);
        if (this.isFalseRefusal(head)) {
            writeFailure(this.context.response, "target-failed");
            this.finish("failed");
            return;
        }
        this.deliver(head, decoded, attempt.kept.take());
    }

    /** Sends the whole events that were kept, and breaks the response off, so that its end is seen to be missing. */
    private receivePartialEvent(attempt: PlainAttempt): void {
        const { head, decoded } = attempt;
        const reason = "ended inside an event";
        attempt.observed.connectionLost();
        this.parts.failures.record(attempt.target, true);
        if (this.isFinished) {
            return;
        }
        const events = wholeEventsOf(attempt.kept.take());
        if (head === undefined || decoded === undefined || attempt.isPassedOn || events.length === 0) {
            this.attemptFailed(attempt, reason);
            return;
        }
        this.release(attempt);
        this.logFailure(attempt, reason);
        const { response } = this.context;
        writeResponseHead(response, head, decoded.forwarded);
        // A response that is broken off at once would take the events along.
        response.write(events, () =>
            this.guard(() => {
                if (!this.isFinished) {
                    breakOff(response);
                    this.finish("broken-off");
                }
            }));
    }

    private deliver(head: ResponseHead, decoded: DecodedResponse, body: Buffer): void {
        const { response, request } = this.context;
        const hasLength = head.delimited && request.method !== "HEAD";
        const length = hasLength ? ["Content-Length", String(body.length)] : [];
        writeResponseHead(response, head, [...decoded.forwarded, ...length]);
        response.end(body);
        this.finish(`status ${head.status}`);
    }

    /** Returns whether a response is delivered, as opposed to a retry or a failure in its place. */
    private mayDeliver(head: ResponseHead, decoded: DecodedResponse): boolean {
        return !decoded.notRun && !(head.status >= 500 && this.canRetry()) && !this.isFalseRefusal(head);
    }

    /** Returns whether a response would claim that the request has not run although it may have. */
    private isFalseRefusal(head: ResponseHead): boolean {
        return !this.isRepeatable() && NOT_RUN_STATUSES.has(head.status);
    }

    private canRetry(): boolean {
        return this.isRepeatable()
            && this.sends < this.context.admitted.route.maximumAttempts
            && this.chooseTarget() !== undefined;
    }

    private receiveFailure(attempt: PlainAttempt, error: Error): void {
        this.recordConnectionFailure(attempt.target.id, attempt.sent, error);
        recordFailure(attempt, error, this.parts);
        if (isLostConnection(error)) {
            attempt.observed.connectionLost();
        }
        this.attemptFailed(attempt, error.message);
    }

    private attemptFailed(attempt: PlainAttempt, reason: string): void {
        attempt.observed.dropped();
        if (this.isFinished || this.attempt !== attempt) {
            return;
        }
        this.mayHaveRun ||= attempt.sent;
        // A target that accepted no connection was not sent the request, so the attempt does not count.
        this.sends -= attempt.sent ? 0 : 1;
        this.release(attempt);
        this.logFailure(attempt, reason);
        if (attempt.isPassedOn) {
            breakOff(this.context.response);
            this.finish("broken-off");
            return;
        }
        this.sendOrGiveUp("not-run", REFUSED_RETRY_AFTER_MILLISECONDS);
    }

    private logFailure(attempt: PlainAttempt, reason: string): void {
        this.parts.log.emit("attemptFailed", {
            ...requestLogFields(this.context),
            target: attempt.target.id,
            reason,
            sent: attempt.sent,
        });
    }

    private release(attempt: PlainAttempt): void {
        if (this.attempt === attempt) {
            this.attempt = undefined;
            this.parts.loadTracker.ended(attempt.target.id, 0, false);
        }
    }

    protected mayRepeat(): boolean {
        return this.isRepeatable();
    }

    /**
     * When the caller disconnects, a request that is not repeatable continues until its deadline, because it may be
     * running.
     */
    protected cancelAttempt(reason: CancelReason): void {
        const { attempt } = this;
        if (attempt === undefined) {
            return;
        }
        this.release(attempt);
        if (reason !== "caller-left" || this.isRepeatable()) {
            attempt.observed.dropped();
            attempt.exchange?.cancel();
            return;
        }
        attempt.exchange?.resume();
        startTimer(() => {
            attempt.observed.dropped();
            attempt.exchange?.cancel();
        }, this.context.deadlineAt - this.parts.clock.monotonic()).unref();
    }
}
