/** Port to the platform's append-only log service. */
import type { Entry } from "@damaskvale/core";
import type { Result } from "ts-results";

/**
 * Why a call to the log failed. `refused` means that it certainly had no effect; `ambiguous` means that an append may
 * have taken effect although its answer was lost.
 */
export interface LogFailure {
    readonly kind: "refused" | "ambiguous";
    readonly message: string;
    /** When the platform says to come back, in milliseconds. */
    readonly retryAfterMilliseconds?: number;
}

/** A page of a stream. `firstOffset` is the oldest offset retained; `nextOffset` is one above the newest. */
export interface LogPage {
    readonly firstOffset: number;
    readonly nextOffset: number;
    readonly entries: readonly Entry[];
}

/** The platform's append-only log. */
export interface PlatformLog {
    append(stream: string, value: unknown): Promise<Result<number, LogFailure>>;
    /** Reads from `from`, waiting up to `waitMilliseconds` for a first entry. */
    read(
        stream: string,
        from: number,
        options: { readonly limit: number; readonly waitMilliseconds: number; readonly signal?: AbortSignal; },
    ): Promise<Result<LogPage, LogFailure>>;
}
