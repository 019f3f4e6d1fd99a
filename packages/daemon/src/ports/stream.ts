/** Port to one followed log stream: its folded state, and conditional appends with their decision. */
import type { Decision, FoldState } from "@damaskvale/core";
import type { Result } from "ts-results";
import type { Published } from "../tasks/published.js";

/** How far a stream follows the log, for status and metrics. */
export interface StreamHealth {
    readonly stream: string;
    readonly nextOffset: number;
    /** Whether the newest read of the log succeeded. */
    readonly platformReachable: boolean;
    /** Monotonic time of the newest successful read of the log or of a peer, in milliseconds. */
    readonly freshAt: number;
    /** Where the newest entries came from. */
    readonly source: "platform" | "peer" | "snapshot" | "none";
    /** Why the fold stopped, if it did. */
    readonly halted?: string;
    /** Whether the whole history up to the end of the log was folded once, and no gap or halt came after it. */
    readonly caughtUp: boolean;
}

/**
 * Why an append has no decision. `refused`: the record certainly is not in the log and will not be.
 * `ambiguous`: it may be in the log, or may still get there.
 */
export interface AppendFailure {
    readonly kind: "refused" | "ambiguous";
    readonly message: string;
    readonly retryAfterMilliseconds?: number;
}

/** One followed stream. */
export interface Stream<State, Body> {
    readonly name: string;
    readonly folded: Published<FoldState<State>>;
    health(): StreamHealth;
    /**
     * Appends a record and resolves once it has been read back and decided. With `id`, a repeat of an earlier append.
     * `timeoutMilliseconds` bounds the wait for the decision; after that the failure is `ambiguous`.
     */
    append(
        body: Body,
        options: { readonly id?: string; readonly timeoutMilliseconds: number; },
    ): Promise<Result<Decision, AppendFailure>>;
}
