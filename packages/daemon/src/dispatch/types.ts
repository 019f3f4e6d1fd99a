/** Types between the front and the dispatcher. Times are monotonic milliseconds unless a name says otherwise. */
import type { ErrorCode, Outcome, RowOf, WeighedCandidate } from "@damaskvale/core";

/** What all checked requests have in common. */
export interface CheckedRequest {
    /** Unique across daemons and restarts; starts with the daemon's name. */
    readonly id: string;
    readonly team: RowOf<"team">;
    /** 0 to 9, higher first. */
    readonly priority: number;
    readonly receivedAt: number;
    readonly deadlineAt: number;
    readonly idempotencyKey?: string;
    /** Trace context of the span of the front. */
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

/** Checked request to a plain service. `path` starts with a slash and holds the query. */
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

/** Error that ends a request. */
export interface CallerError {
    readonly code: ErrorCode;
    readonly message: string;
    /** Takes the place of the outcome that belongs to the code. */
    readonly outcome?: Outcome;
    readonly retryAfterMilliseconds?: number;
    /** False when the time is computed for this caller alone, and must stay as it is. */
    readonly jitter?: boolean;
    readonly param?: string;
}

/** Whole answer of a target. */
export interface BufferedResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    readonly outcome: Outcome;
}

/** Receiver of the answer to one request. */
export interface ResponseSink {
    /** Aborts when the caller has disconnected. */
    readonly gone: AbortSignal;
    respond(answer: BufferedResponse): void;
    /** Writes one stream event; a promise resolves when the caller can take the next one, or is gone. */
    chunk(data: string): Promise<void> | undefined;
    /** Ends a stream with its usual end marker. */
    done(): void;
    /** Ends with an error: as a response, or as an error event without the end marker once a stream has started. */
    fail(error: CallerError): void;
}

/** One attempt, as `explain` shows it. */
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

/** What became of one request. `wallTime` is milliseconds since the Unix epoch. */
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
