/** Types that the front end and the dispatcher share. Times are monotonic milliseconds unless a name says otherwise. */
import type { ErrorCode, Outcome, RowOf, WeighedCandidate } from "@damaskvale/core";

/** Common fields of all checked requests. */
export interface CheckedRequest {
    /** Unique across daemons and restarts; starts with the daemon's name. */
    readonly id: string;
    readonly team: RowOf<"team">;
    /** 0 to 9; a higher priority is served first. */
    readonly priority: number;
    readonly receivedAt: number;
    readonly deadlineAt: number;
    readonly idempotencyKey?: string;
    /** Trace context of the span of the front end. */
    readonly traceparent?: string;
}

/** Checked chat completion request. */
export interface ChatRequest extends CheckedRequest {
    readonly kind: "chat";
    readonly model: string;
    readonly stream: boolean;
    readonly body: Readonly<Record<string, unknown>>;
    readonly rawBody: Buffer;
    /** Daemon of another data centre that forwarded the request here. */
    readonly forwardedBy?: string;
}

/** Checked request to a plain service. `path` starts with a slash and includes the query. */
export interface ServiceCallRequest extends CheckedRequest {
    readonly kind: "service";
    readonly service: RowOf<"service">;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    readonly repeatable: boolean;
}

/** Request that the dispatcher runs. */
export type DispatchRequest = ChatRequest | ServiceCallRequest;

/** Error that is returned to the caller and ends the request. */
export interface CallerError {
    readonly code: ErrorCode;
    readonly message: string;
    /** Overrides the default outcome of the code. */
    readonly outcome?: Outcome;
    readonly retryAfterMilliseconds?: number;
    /** Whether jitter is added to the retry time; `false` if the time was computed for this caller. Default `true`. */
    readonly jitter?: boolean;
    readonly param?: string;
}

/** Complete response of a target, not streamed. */
export interface BufferedResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    readonly outcome: Outcome;
}

/** Receiver of the response to one request. */
export interface ResponseSink {
    /** Aborts when the caller has disconnected. */
    readonly gone: AbortSignal;
    /** Writes a complete response. */
    respond(response: BufferedResponse): void;
    /** Writes one stream event. Returns a promise if the caller is slow; it resolves on drain or disconnect. */
    chunk(data: string): Promise<void> | undefined;
    /** Ends a stream with the end marker. */
    done(): void;
    /** Ends with an error: an error response, or after the start of a stream, an error event without the end marker. */
    fail(error: CallerError): void;
}

/** Explanation of one attempt, as `explain` shows it. */
export interface AttemptExplanation {
    readonly attemptId: string;
    readonly target: string;
    readonly fence?: number;
    readonly weighed: readonly WeighedCandidate[];
    readonly startedAt: number;
    readonly finishedAt: number;
    readonly result: string;
    readonly message?: string;
    readonly resumes: number;
}

/** Explanation of how one request was handled. `wallTime` is milliseconds since the Unix epoch. */
export interface Explanation {
    readonly requestId: string;
    readonly team: string;
    readonly route: DispatchRequest["kind"];
    readonly subject: string;
    readonly priority: number;
    readonly wallTime: number;
    readonly receivedAt: number;
    readonly deadlineAt: number;
    readonly repeatable: boolean;
    readonly admission?: string;
    readonly claim?: string;
    readonly forwardedBy?: string;
    readonly attempts: readonly AttemptExplanation[];
    readonly finishedAt?: number;
    readonly outcome?: Outcome;
    readonly code?: string;
}
