/** Port to the wire names of callers and targets. */
import type { IncomingHttpHeaders } from "node:http";

/** Flat list of header names and values, in order. */
export type HeaderList = readonly string[];

/** A request of a caller, decoded. */
export interface CallerRequest {
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly path: string;
    readonly hostname: string;
    /** Id of the caller's attempt. */
    readonly id?: string;
    /** Key of a team. */
    readonly key?: string;
    /** How long the caller waits, in milliseconds. */
    readonly deadlineMilliseconds?: number;
    /** Id of the last event that the caller has, if it resumes a stream. */
    readonly lastEventId?: number;
    readonly model?: string;
    readonly promptTokens: number;
    /** Tokens that the answer may have, at most. */
    readonly maximumOutputTokens: number;
    /** Tokens that the caller expects the answer to have, if it says so. */
    readonly expectedOutputTokens?: number;
    /** Headers that are passed on to targets unchanged. */
    readonly forwarded: HeaderList;
}

/** What the daemon adds to a request that it sends to a target. */
export interface TargetRequestFields {
    /** Target that must answer; any other one at the address refuses. */
    readonly target: string;
    readonly remainingMilliseconds: number;
    readonly team?: string;
    /** Event after which a stream goes on. */
    readonly lastEventId?: number;
    /** 0 to 9, 0 is the most urgent. */
    readonly priority?: number;
}

/** Head of a target's answer. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    /**
     * Whether the end of the body is marked. A body that ends with its connection may have been cut, and is passed on
     * in the same way, so that the caller does not take it for whole on our word.
     */
    readonly delimited: boolean;
}

/** What the head of an answer says. */
export interface DecodedResponse {
    /** Whether the target states that it has not run the request and never will. */
    readonly notRun: boolean;
    /** Whether the target is not the one that was meant, or does not take requests for its group. */
    readonly misdirected: boolean;
    /** Id of the request that is answered, if the target states it. */
    readonly requestId?: string;
    /** Headers that are passed on to the caller unchanged. */
    readonly forwarded: HeaderList;
}

/** Names and formats of the wire. */
export interface RelayProtocol {
    decodeRequest(method: string, path: string, headers: IncomingHttpHeaders, list: HeaderList): CallerRequest;
    encodeForTarget(request: CallerRequest, fields: TargetRequestFields): HeaderList;
    decodeResponse(head: ResponseHead): DecodedResponse;
}
