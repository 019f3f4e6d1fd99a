/** State of one attempt to get a response from a plain target. */
import type { Target } from "@damaskvale/core";
import { createGrowingBuffer, type GrowingBuffer } from "../growingbuffer.js";
import type { DecodedResponse, ResponseHead } from "../ports/relayprotocol.js";
import type { ObservedAttempt } from "./crashobserver.js";
import type { TargetExchange } from "./targetconnections.js";

/** Body that is kept until it is complete, so that the request can be sent to another target if it is cut off. */
export const KEPT_BODY_BYTES = 262_144;

/** One attempt at a plain target. */
export interface PlainAttempt {
    readonly target: Target;
    readonly sentAt: number;
    readonly observed: ObservedAttempt;
    exchange?: TargetExchange;
    /** Whether bytes of the request were written to the target. */
    sent: boolean;
    head?: ResponseHead;
    decoded?: DecodedResponse;
    /** The body as far as it is kept. */
    readonly kept: GrowingBuffer;
    /** Number of bytes of the body that have arrived. */
    bodyBytes: number;
    /** Whether the response is passed on as it arrives, because its body is too large to be kept. */
    isPassedOn: boolean;
    /** Last bytes that have arrived of a body that ends with its connection. */
    lastBytes: Buffer;
}

/** Creates the state of an attempt that is sent at the monotonic time `sentAt`. */
export function createPlainAttempt(target: Target, observed: ObservedAttempt, sentAt: number): PlainAttempt {
    return {
        target,
        sentAt,
        observed,
        sent: false,
        kept: createGrowingBuffer(),
        bodyBytes: 0,
        isPassedOn: false,
        lastBytes: Buffer.alloc(0),
    };
}

/** Concludes from the end of a response. One that says that the request has not run proves nothing. */
export function concludeObservation({ observed, decoded }: PlainAttempt): void {
    if (decoded === undefined || decoded.notRun) {
        observed.dropped();
        return;
    }
    observed.completed();
}
