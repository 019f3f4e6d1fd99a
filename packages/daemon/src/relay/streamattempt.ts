/** State of one attempt to get a stream from the head of a group. */
import type { Target } from "@damaskvale/core";
import type { HeaderList, ResponseHead } from "../ports/relayprotocol.js";
import type { ObservedAttempt } from "./crashobserver.js";
import { createEventSplitter, type EventSplitter } from "./eventsplitter.js";
import { createPauseMeter, type PauseMeter } from "./pausemeter.js";
import { createPieceRate, type PieceRate } from "./readpace.js";
import type { TargetExchange } from "./targetconnections.js";

/** One attempt at the head of a group. */
export interface StreamAttempt {
    readonly head: string;
    readonly target: Target;
    readonly sentAt: number;
    readonly splitter: EventSplitter;
    readonly observed: ObservedAttempt;
    readonly pauses: PauseMeter;
    /** Limits how fast events are read. */
    readonly eventRate: PieceRate;
    exchange?: TargetExchange;
    /** Whether the target may have run the request; reset if the target states that it has not. */
    sent: boolean;
    /** Whether any bytes of the request were written to the target; never reset. */
    written: boolean;
    started: boolean;
    /** Head of the response as it is passed on. */
    opening?: { readonly head: ResponseHead; readonly headers: HeaderList; };
    /** Whether the response is an error of the target that is passed to the caller unchanged. */
    isPassthrough: boolean;
    /** Number of bytes of such an error that have arrived. */
    passedThroughBytes: number;
    isReleased: boolean;
}

/** When an attempt is sent, in monotonic milliseconds, and how long a pass of its group should take. */
export interface AttemptTimes {
    readonly sentAt: number;
    readonly passMilliseconds: number;
}

/** Creates the state of an attempt. */
export function createStreamAttempt(
    target: Target,
    observed: ObservedAttempt,
    { sentAt, passMilliseconds }: AttemptTimes,
): StreamAttempt {
    return {
        head: target.id,
        target,
        sentAt,
        splitter: createEventSplitter(),
        observed,
        pauses: createPauseMeter(passMilliseconds),
        eventRate: createPieceRate(),
        sent: false,
        written: false,
        started: false,
        isPassthrough: false,
        passedThroughBytes: 0,
        isReleased: false,
    };
}

/** Records that the first bytes of the request are written to the target. */
export function recordWritten(attempt: StreamAttempt): void {
    attempt.sent = true;
    attempt.written = true;
    attempt.observed.sent();
}
