/** Relays an event stream from the heads of groups, and resumes it at another group where the route allows it. */
import type { ResponseHead } from "../ports/relayprotocol.js";
import { writeAnswerHead, writeFailure, writeRefusal } from "./answers.js";
import { identify, type RelayParts, type RequestContext } from "./context.js";
import { createEventSplitter, type EventSplitter, type StreamEvent } from "./eventsplitter.js";
import { type EndDetails, RelayTask } from "./relaytask.js";
import { noteDemand, placeStream, REFUSED_RETRY_MILLISECONDS, weighedGroups } from "./streamplacement.js";
import { isRefusedConnection, type TargetExchange } from "./targetconnections.js";

/** A stream in progress, as the watch over stalled targets sees it. */
export interface StreamRelay {
    /** Head that serves the stream now. */
    head(): string | undefined;
    /** Moves the stream to another group if one can take it. */
    moveAway(): void;
}

/** Bytes that may wait for a slow caller before the target is paused. */
const PAUSE_AT_BYTES = 65_536;

interface Attempt {
    readonly head: string;
    readonly address: string;
    readonly splitter: EventSplitter;
    exchange?: TargetExchange;
    /** Whether the target may run the request; false again after its statement that it has not. */
    sent: boolean;
    /** Whether bytes of the request were written to the target at all. */
    written: boolean;
    started: boolean;
    /** Whether the attempt passes its answer on unchanged because it is a failure of the target. */
    passing: boolean;
    over: boolean;
    /** Whether the target marks the end of its answer. */
    delimited: boolean;
}

/** Starts to relay a stream; `ended` is called once when nothing more will happen. */
export function relayStream(context: RequestContext, parts: RelayParts, ended: () => void): StreamRelay {
    const relay = new StreamRelayTask(context, parts, ended);
    relay.start();
    return relay;
}

class StreamRelayTask extends RelayTask implements StreamRelay {
    private readonly tried: string[] = [];
    private attempt: Attempt | undefined;
    private lastEventId: number | undefined;
    /** Whether the answer to the caller marks its end. */
    private marksEnd = true;
    private firstEventAt: number | undefined;

    constructor(context: RequestContext, parts: RelayParts, ended: () => void) {
        super(context, parts, ended);
        this.lastEventId = context.request.lastEventId;
        context.response.on("drain", () => this.attempt?.exchange?.resume());
    }

    start(): void {
        this.parts.budgetOf(this.context.service).recordFirstAttempt(this.parts.clock.monotonic());
        noteDemand(this.context, this.parts);
        this.sendOrGiveUp();
    }

    head(): string | undefined {
        return this.attempt?.head;
    }

    moveAway(): void {
        const stalled = this.attempt;
        if (stalled === undefined || stalled.passing || !this.mayRepeat()) {
            return;
        }
        const placement = placeStream(this.context, this.parts, this.tried);
        if (placement.kind === "placed" && this.takeFromBudget()) {
            this.mayHaveRun ||= stalled.sent;
            this.release(stalled);
            stalled.exchange?.cancel();
            this.parts.connections.renew(stalled.address);
            this.parts.log.emit("streamMoved", {
                ...identify(this.context),
                from: stalled.head,
                to: placement.head,
                lastEventId: this.lastEventId,
            });
            this.send(placement.head);
        }
    }

    private mayRepeat(): boolean {
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
        if (!this.takeFromBudget()) {
            this.giveUp("budget", REFUSED_RETRY_MILLISECONDS);
            return;
        }
        this.send(placement.head);
    }

    private send(headId: string): void {
        const { context, parts } = this;
        const target = parts.state.targetById(headId);
        if (target === undefined) {
            this.giveUp("no-group", REFUSED_RETRY_MILLISECONDS);
            return;
        }
        const attempt: Attempt = {
            head: headId,
            address: target.address,
            splitter: createEventSplitter(),
            sent: false,
            written: false,
            started: false,
            passing: false,
            over: false,
            delimited: true,
        };
        this.attempt = attempt;
        this.tried.push(headId);
        this.sends += 1;
        const now = parts.clock.monotonic();
        parts.board.sent(headId, { promptTokens: context.request.promptTokens, stream: true }, now);
        parts.log.emit("streamSent", {
            ...identify(context),
            target: headId,
            attempt: this.sends,
            lastEventId: this.lastEventId,
            inProgressThere: parts.board.get(headId)?.inProgress,
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
            {
                sent: () => {
                    attempt.sent = true;
                    attempt.written = true;
                },
                head: head => this.receiveHead(attempt, head),
                data: chunk => this.receiveData(attempt, chunk),
                ended: () => this.receiveEnd(attempt),
                failed: error => this.receiveFailure(attempt, error),
            },
        );
    }

    private receiveHead(attempt: Attempt, head: ResponseHead): void {
        const { context, parts } = this;
        const meaning = parts.protocol.decodeResponse(head);
        if (meaning.requestId !== undefined && meaning.requestId !== context.request.id) {
            this.abandon(attempt, "foreign-answer");
            return;
        }
        if (meaning.misdirected) {
            parts.headUnusable(attempt.head);
        }
        if (meaning.notRun) {
            attempt.sent = false;
            this.abandon(attempt, `refused with ${head.status}`);
            return;
        }
        const success = head.status >= 200 && head.status < 300;
        if (!success && (this.mayRepeat() || context.response.headersSent)) {
            this.abandon(attempt, `status ${head.status}`);
            return;
        }
        attempt.passing = !success;
        attempt.delimited = head.delimited;
        if (!context.response.headersSent) {
            this.marksEnd = head.delimited;
            writeAnswerHead(context.response, head, meaning.forwarded);
        }
    }

    private receiveData(attempt: Attempt, chunk: Buffer): void {
        const { context, parts } = this;
        const now = parts.clock.monotonic();
        if (attempt.passing) {
            context.response.write(chunk);
            return;
        }
        const events = attempt.splitter.push(chunk);
        if (events.length === 0) {
            return;
        }
        if (!attempt.started) {
            attempt.started = true;
            this.firstEventAt ??= now;
            parts.board.started(attempt.head, context.request.promptTokens, now);
        }
        parts.board.progressed(attempt.head, now);
        const inOrder = events.every(event => this.deliver(event));
        if (!inOrder) {
            this.abandon(attempt, "event-missing");
            return;
        }
        if (context.response.writableLength > PAUSE_AT_BYTES) {
            attempt.exchange?.pause();
        }
    }

    /** Passes an event on unless the caller has it; returns whether no event before it is missing. */
    private deliver(event: StreamEvent): boolean {
        const { id } = event;
        const last = this.lastEventId ?? 0;
        if (id !== undefined && id <= last) {
            return true;
        }
        if (id !== undefined && id > last + 1) {
            return false;
        }
        this.lastEventId = id ?? this.lastEventId;
        this.context.response.write(event.bytes);
        return true;
    }

    private receiveEnd(attempt: Attempt): void {
        if (!attempt.passing && (attempt.splitter.hasPartialEvent() || !attempt.started)) {
            this.attemptFailed(attempt, "ended inside an event");
            return;
        }
        this.release(attempt);
        if (this.marksEnd && !attempt.delimited) {
            // The caller would take the marked end for that of a whole stream, which is not known.
            this.context.response.destroy();
            this.finish("end-unknown");
            return;
        }
        this.context.response.end();
        this.finish("complete");
    }

    private receiveFailure(attempt: Attempt, error: Error): void {
        if (isRefusedConnection(error)) {
            this.parts.headUnusable(attempt.head);
        }
        this.attemptFailed(attempt, error.message);
    }

    private abandon(attempt: Attempt, reason: string): void {
        attempt.exchange?.cancel();
        this.attemptFailed(attempt, reason);
    }

    private attemptFailed(attempt: Attempt, reason: string): void {
        if (attempt.over || this.over) {
            return;
        }
        this.mayHaveRun ||= attempt.sent;
        // A target that took no connection was not sent the request; the next one is tried in its place.
        this.sends -= attempt.written ? 0 : 1;
        this.release(attempt);
        this.parts.log.emit("attemptFailed", {
            ...identify(this.context),
            target: attempt.head,
            reason,
            sent: attempt.sent,
            lastEventId: this.lastEventId,
        });
        if (attempt.passing || !this.mayRepeat()) {
            this.giveUp("not-run", REFUSED_RETRY_MILLISECONDS);
            return;
        }
        this.sendOrGiveUp();
    }

    private release(attempt: Attempt): void {
        if (!attempt.over) {
            attempt.over = true;
            this.parts.board.ended(attempt.head, this.context.request.promptTokens, attempt.started);
        }
        if (this.attempt === attempt) {
            this.attempt = undefined;
        }
    }

    private giveUp(reason: "no-group" | "full" | "too-late" | "budget" | "not-run", retryAfter: number): void {
        const { response } = this.context;
        if (response.headersSent) {
            response.destroy();
            this.finish("broken-off");
            return;
        }
        if (this.mayHaveRun) {
            writeFailure(response, "target-failed");
            this.finish("failed");
            return;
        }
        writeRefusal(response, reason, retryAfter);
        this.finish(`refused: ${reason}`, {
            retryAfterMilliseconds: retryAfter,
            groups: weighedGroups(this.context, this.parts),
        });
    }

    protected cancelAttempt(): void {
        const { attempt } = this;
        if (attempt !== undefined) {
            this.release(attempt);
            attempt.exchange?.cancel();
        }
    }

    protected override finish(outcome: string, details: EndDetails = {}): void {
        super.finish(outcome, {
            lastEventId: this.lastEventId,
            ...details,
            firstEventMilliseconds: this.firstEventAt === undefined ? undefined : this.elapsed(this.firstEventAt),
        });
    }
}
