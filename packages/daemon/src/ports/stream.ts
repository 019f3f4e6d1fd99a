/** Port to one followed log stream: its folded state, and conditional appends with their decisions. */
import type { Decision, FoldState } from "@damaskvale/core";
import type { Result } from "ts-results";
import type { Published } from "../tasks/published.js";

/** How closely a stream follows the log, for status and metrics. */
export interface StreamHealth {
    readonly stream: string;
    readonly nextOffset: number;
    /** Whether the latest read of the log succeeded. */
    readonly platformReachable: boolean;
    /** Monotonic time of the latest successful read from the log or a peer, in milliseconds. */
    readonly freshAt: number;
    /** Source of the latest entries. */
    readonly source: "platform" | "peer" | "snapshot" | "none";
    /** Why the fold stopped, if it did. */
    readonly halted?: string;
    /** Whether the log was folded up to its end at least once, without a later gap or halt. */
    readonly caughtUp: boolean;
}

/**
 * Why an append has no decision. `refused`: the record is not in the log and will not be.
 * `ambiguous`: the record may be in the log, or may still be added to it.
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
     * Appends a record and resolves once it has been read back and decided. Pass the `id` of an earlier append to retry it.
     * `timeoutMilliseconds` bounds the wait for the decision; when it expires, the failure is `ambiguous`.
     */
    append(
        body: Body,
        options: { readonly id?: string; readonly timeoutMilliseconds: number; },
    ): Promise<Result<Decision, AppendFailure>>;
}
