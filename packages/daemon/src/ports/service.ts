/** Port to plain services. */
import type { Result } from "ts-results";
import type { TargetFailure } from "./engine.js";

/** Request to a plain service. `path` starts with a slash and includes the query. */
export interface ServiceRequest {
    readonly url: string;
    readonly attemptId: string;
    readonly idempotencyKey?: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    readonly timeoutMilliseconds: number;
    readonly signal: AbortSignal;
    readonly traceparent?: string;
    /** Called immediately before the first byte is written; on false, nothing is written and the failure is `not-sent`. */
    readonly mayWrite?: () => boolean;
}

/** Complete response of a plain service. */
export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/** Client for plain services. */
export interface ServiceClient {
    call(request: ServiceRequest): Promise<Result<ServiceResponse, TargetFailure>>;
}
