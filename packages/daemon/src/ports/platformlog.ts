/** Port to the platform's append-only log service. */
import type { Entry } from "@damaskvale/core";
import type { Result } from "ts-results";

/**
 * Why a call to the log failed. `refused`: the call certainly had no effect. `ambiguous`: an append may have taken effect
 * although its response was lost.
 */
export interface LogFailure {
    readonly kind: "refused" | "ambiguous";
    readonly message: string;
    /** Retry delay requested by the platform, in milliseconds. */
    readonly retryAfterMilliseconds?: number;
}

/** A page of a stream. `firstOffset` is the oldest retained offset; `nextOffset` is one above the newest. */
export interface LogPage {
    readonly firstOffset: number;
    readonly nextOffset: number;
    readonly entries: readonly Entry[];
}

/** The platform's append-only log. */
export interface PlatformLog {
    append(stream: string, value: unknown): Promise<Result<number, LogFailure>>;
    /** Reads from the offset `from`, waiting up to `waitMilliseconds` for the first entry. */
    read(
        stream: string,
        from: number,
        options: { readonly limit: number; readonly waitMilliseconds: number; readonly signal?: AbortSignal; },
    ): Promise<Result<LogPage, LogFailure>>;
}
