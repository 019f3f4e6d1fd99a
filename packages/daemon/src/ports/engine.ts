/** Port to the engines on target hosts. */
import type { Report } from "@damaskvale/core";
import type { Result } from "ts-results";

/** Why a call to a target failed. */
export interface TargetFailure {
    /**
     * `not-sent`: no byte was written. `refused`: the target states that it refused the call before starting it.
     * `broken`: the connection failed after bytes were written. `silent`: a progress deadline expired.
     * `failed`: the target responded with an error after starting. `cancelled`: the daemon cancelled the call.
     */
    readonly kind: "not-sent" | "refused" | "broken" | "silent" | "failed" | "cancelled";
    readonly message: string;
    readonly status?: number;
    /** With `silent`: `connection` if the target responded on a new connection, otherwise `target`. */
    readonly lost?: "connection" | "target";
}

/** One order to an engine. */
export interface Order {
    readonly order: "assign" | "clear";
    readonly group: string;
    readonly fence: number;
    readonly model?: string;
    readonly version?: string;
    readonly members?: readonly { readonly host: string; readonly url: string; }[];
    readonly leader?: string;
}

/** A request to the leader of a group. */
export interface EngineRequest {
    readonly url: string;
    readonly attemptId: string;
    readonly group: string;
    readonly fence: number;
    readonly priority: number;
    /** Validated chat completion request, as the caller sent it. */
    readonly body: Readonly<Record<string, unknown>>;
    readonly stream: boolean;
    readonly signal: AbortSignal;
    readonly traceparent?: string;
    /** Body as the caller sent it, byte for byte; sent in place of `body`. */
    readonly rawBody?: Buffer;
    readonly idempotencyKey?: string;
    /** Called immediately before the first byte is written; on false, nothing is written and the failure is `not-sent`. */
    readonly mayWrite?: () => boolean;
    /** Longest wait for a non-streaming response while the target responds on other connections, in milliseconds. */
    readonly nonStreamingTimeoutMilliseconds?: number;
    /** For a resumed stream: the `id` of its earlier chunks. */
    readonly completionId?: string;
}

/** Events that an engine sends for one attempt, in order. `index` counts data events from 0. */
export type EngineEvent =
    | { readonly kind: "progress"; }
    | {
        readonly kind: "chunk";
        readonly index: number;
        readonly data: Readonly<Record<string, unknown>>;
        readonly raw?: string;
    }
    | { readonly kind: "done"; }
    | {
        readonly kind: "whole";
        readonly status: number;
        readonly body: Readonly<Record<string, unknown>>;
        readonly raw?: Buffer;
    }
    | { readonly kind: "failure"; readonly failure: TargetFailure; };

/** Client of the engines. */
export interface EngineClient {
    report(url: string, timeoutMilliseconds: number): Promise<Result<Report, TargetFailure>>;
    order(url: string, order: Order, timeoutMilliseconds: number): Promise<Result<void, TargetFailure>>;
    complete(request: EngineRequest): AsyncIterable<EngineEvent>;
    /** Resumes the stream of an attempt on a new connection, starting at the data event `fromIndex`. */
    resume(request: EngineRequest, fromIndex: number): AsyncIterable<EngineEvent>;
    cancel(url: string, attemptId: string): Promise<void>;
}
