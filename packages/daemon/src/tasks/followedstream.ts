/** Types of a followed stream. */
import type { Author, FoldDefinition } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";
import type { PlatformLog } from "../ports/platformlog.js";
import type { Stream } from "../ports/stream.js";
import type { StreamExchange } from "./exchange.js";

/** Options of a followed stream. */
export interface StreamOptions<State, Body> {
    readonly name: string;
    readonly definition: FoldDefinition<State, Body>;
    readonly author: Author;
    readonly log: PlatformLog;
    readonly exchange: StreamExchange;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
    /** Returns numbers from 0 to 1 of a seeded generator. */
    readonly random: () => number;
}

/** A followed stream with the lifecycle of its task. */
export interface FollowedStream<State, Body> extends Stream<State, Body> {
    start(): void;
    stop(): Promise<void>;
    /** Handles the offset up to which a peer has folded this stream, as reported by the peer's probes. */
    receivePeerOffset(peer: string, offset: number): void;
}
