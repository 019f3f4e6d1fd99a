/** Port to daemons of other data centres, which take a request if no local group is dispatchable. */
import type { EngineEvent } from "../ports/engine.js";
import type { BufferedResponse, CallerError, ChatRequest } from "./types.js";

/** Event that another daemon sends for a forwarded request. */
export type ForwardEvent =
    | Exclude<EngineEvent, { kind: "whole"; }>
    | { readonly kind: "answer"; readonly answer: BufferedResponse; }
    | { readonly kind: "error"; readonly error: CallerError; };

/** Request to another daemon. */
export interface ForwardRequest {
    readonly address: string;
    readonly request: ChatRequest;
    readonly attemptId: string;
    readonly remainingMilliseconds: number;
    readonly signal: AbortSignal;
    readonly mayWrite: () => boolean;
    readonly traceparent?: string;
}

/** Client that forwards requests to other daemons. Each request is sent at most once. */
export interface Forwarder {
    forward(request: ForwardRequest): AsyncIterable<ForwardEvent>;
}
