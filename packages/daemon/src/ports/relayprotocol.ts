/** Port to the platform's HTTP conventions for requests of callers and responses of targets. */
import type { IncomingHttpHeaders } from "node:http";

/** Header names and values, alternating and in order. */
export type HeaderList = readonly string[];

/** A decoded request of a caller. */
export interface CallerRequest {
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly path: string;
    readonly hostname: string;
    /** Id that the caller gave this attempt. */
    readonly id?: string;
    /** API key of a team. */
    readonly key?: string;
    /** How long the caller waits for the response, in milliseconds. */
    readonly deadlineMilliseconds?: number;
    /** Id of the last event that the caller received, if it resumes a stream. */
    readonly lastEventId?: number;
    readonly model?: string;
    /** Parts of the prompt as the caller states them, its own last part included. */
    readonly prompt?: string;
    readonly promptTokens: number;
    /** Ids of the parts of the prompt that other requests share, without repetitions; never the request's own last part. */
    readonly promptParts: readonly string[];
    /** Maximum number of tokens of the output. */
    readonly maximumOutputTokens: number;
    /** Number of output tokens that the caller expects, if stated. */
    readonly expectedOutputTokens?: number;
    /** Headers that are forwarded to targets unchanged. */
    readonly forwarded: HeaderList;
}

/** Fields that the daemon adds to a request for a target. */
export interface TargetRequestFields {
    /** Target that must handle the request; any other one at the address refuses it. */
    readonly target: string;
    readonly remainingMilliseconds: number;
    readonly team?: string;
    /** Id of the event after which a stream resumes. */
    readonly lastEventId?: number;
    /** Priority from 0 (most urgent) to 9. */
    readonly priority?: number;
}

/** Head of a target's response. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    /**
     * Whether the end of the body is marked. A body without a marked end is complete if its connection was closed, not
     * reset.
     */
    readonly delimited: boolean;
    /** Whether an earlier request was sent on the connection, so that an answer to it may come late. Absent if not. */
    readonly onKeptConnection?: boolean;
}

/** What a response says about the request rate that its target accepts from all daemons together. */
export type RateStatement =
    | { readonly kind: "limited"; readonly requestsPerSecond: number; }
    | { readonly kind: "unlimited"; }
    | { readonly kind: "unreadable"; readonly text: string; };

/** What a response that turns a request away says about the time for which its target wants none from this daemon. */
export type RestStatement =
    | { readonly kind: "none"; }
    | { readonly kind: "resting"; readonly milliseconds: number; }
    | { readonly kind: "unreadable"; readonly text: string; };

/** What a response says about its target. */
export interface TargetStatements {
    readonly rate: RateStatement;
    readonly rest: RestStatement;
    /** Whether the target leaves: it wants no new requests until its process ends. */
    readonly leaving: boolean;
}

/** Meaning of the head of a response. */
export interface DecodedResponse {
    /** Whether the target states that it has not run the request and never will. */
    readonly notRun: boolean;
    /** Whether the target is not the intended one, or does not accept requests for its group. */
    readonly misdirected: boolean;
    /** Id of the request that the response belongs to, if the target states it. */
    readonly requestId?: string;
    readonly statements: TargetStatements;
    /** Headers that are forwarded to the caller unchanged. */
    readonly forwarded: HeaderList;
}

/** Encoder and decoder for the platform's header names and formats. */
export interface RelayProtocol {
    decodeRequest(method: string, path: string, headers: IncomingHttpHeaders, list: HeaderList): CallerRequest;
    encodeForTarget(request: CallerRequest, fields: TargetRequestFields): HeaderList;
    /** Encodes a request for another daemon, which admits it as if its caller had sent it there. */
    encodeForDaemon(request: CallerRequest, fields: { readonly remainingMilliseconds: number; }): HeaderList;
    decodeResponse(head: ResponseHead): DecodedResponse;
}
