/** Claims of non-repeatable requests, partitioned over the claims streams. */
import {
    type Author,
    CLAIM_LIFETIME_MILLISECONDS,
    claimPartition,
    type ClaimsBody,
    type ClaimsState,
    evaluateClaim,
    type Outcome,
} from "@damaskvale/core";
import type { ClaimRequest, ClaimResult, Claims } from "../ports/claims.js";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";
import type { PeerNetwork } from "../ports/peers.js";
import type { Stream } from "../ports/stream.js";
import { type ClaimWriter, createClaimWriter } from "./claimbatch.js";
import { createAnswerStore } from "./recordedanswers.js";
import { sleep } from "./sleep.js";

/** Options of the claims of a daemon. */
export interface ClaimsOptions {
    readonly author: Author;
    /** Streams of the partitions, indexed by partition. */
    readonly streams: readonly Stream<ClaimsState, ClaimsBody>[];
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
    readonly random: () => number;
    readonly maximumAnswerBytes?: number;
}

/** Claims with the lifecycle of their writers. */
export interface ClaimsTask extends Claims {
    /** Waits until all releases and outcomes are decided. Resolves with whether that happened before the timeout. */
    drain(timeoutMilliseconds: number): Promise<boolean>;
    stop(): void;
}

const DEFAULT_MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;
const RETRY_AFTER_MILLISECONDS = 1_000;
/** Claims with an ambiguous record that one partition may have; above it new claims are refused to bound memory. */
const MAXIMUM_UNDECIDED_CLAIMS = 4_096;
const DRAIN_CHECK_MILLISECONDS = 20;
/** Outcomes kept until the fold contains them; far more than one daemon records between two reads of the log. */
const MAXIMUM_RECORDED_OUTCOMES = 1_024;

interface Partition {
    readonly stream: Stream<ClaimsState, ClaimsBody>;
    readonly writer: ClaimWriter;
}

interface HeldClaim {
    readonly partition: Partition;
    readonly request: ClaimRequest;
}

interface RecordedOutcome {
    readonly outcome: Outcome;
    readonly status: number;
}

/** Creates the claims of a daemon. */
export function createClaims(options: ClaimsOptions): ClaimsTask {
    return new DaemonClaims(options);
}

class DaemonClaims implements ClaimsTask {
    private readonly held = new Map<string, HeldClaim>();
    /** Outcomes recorded by this daemon that its fold may not contain yet. */
    private readonly recorded = new Map<string, RecordedOutcome>();
    private readonly partitions: readonly Partition[];
    private readonly answers;
    private lastId = 0;

    constructor(private readonly options: ClaimsOptions) {
        const { random, events, network } = options;
        this.answers = createAnswerStore(network, options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES);
        this.partitions = options.streams.map(stream => ({
            stream,
            writer: createClaimWriter({
                stream,
                random,
                nextId: () => this.nextId("claims"),
                onAmbiguous: claims => events.emit("claimsAmbiguous", { stream: stream.name, claims: claims.length }),
            }),
        }));
    }

    async claim(request: ClaimRequest): Promise<ClaimResult> {
        const result = await this.tryClaim(request);
        this.options.metrics.increment("claims.results", 1, { kind: result.kind });
        return result;
    }

    release(claim: string): void {
        const held = this.held.get(claim);
        if (held !== undefined) {
            const { team, keyHash } = held.request;
            this.held.delete(claim);
            held.partition.writer.release({ claim, team, keyHash });
        }
    }

    record: Claims["record"] = (claim, outcome, status, answer) => {
        const held = this.held.get(claim);
        if (held !== undefined) {
            const { team, keyHash } = held.request;
            this.held.delete(claim);
            this.answers.keep(team, keyHash, outcome, answer);
            this.recorded.set(requestKey(held.request), { outcome, status });
            const oldest = [...this.recorded.keys()].slice(
                0,
                Math.max(0, this.recorded.size - MAXIMUM_RECORDED_OUTCOMES),
            );
            oldest.forEach(key => this.recorded.delete(key));
            held.partition.writer.outcome({ claim, team, keyHash, status, outcome });
        }
    };

    async drain(timeoutMilliseconds: number): Promise<boolean> {
        const deadlineAt = this.options.clock.monotonic() + timeoutMilliseconds;
        const isIdle = () => this.partitions.every(({ writer }) => writer.pending() === 0 && writer.undecided() === 0);
        while (!isIdle() && this.options.clock.monotonic() < deadlineAt) {
            await sleep(DRAIN_CHECK_MILLISECONDS);
        }
        return isIdle();
    }

    stop(): void {
        this.partitions.forEach(({ writer }) => writer.stop());
    }

    private async tryClaim(request: ClaimRequest): Promise<ClaimResult> {
        const { team, keyHash, bodyHash } = request;
        const partition = this.partitions[claimPartition(team, keyHash, this.partitions.length)];
        // A key with a known claim is never answered as "not run", even while the log is unreachable.
        const existing = partition === undefined ? undefined : await this.findExisting(partition, request);
        if (existing !== undefined) {
            return existing;
        }
        if (partition === undefined || !isUsable(partition)) {
            return unavailable();
        }
        const claim = this.nextId("claim");
        const result = await partition.writer.claim({ claim, team, keyHash, bodyHash });
        if (result !== "decided") {
            return unavailable();
        }
        const evaluation = evaluateClaim(partition.stream.folded.current().state, { claim, team, keyHash, bodyHash });
        if (evaluation.kind !== "held") {
            return await this.answer(partition, request) ?? unavailable();
        }
        this.held.set(claim, { partition, request });
        if (this.options.clock.monotonic() >= request.deadlineAt) {
            this.release(claim);
            return unavailable();
        }
        return { kind: "held", claim };
    }

    /**
     * Answers a repeated request without appending a record. An idle stream does not remove expired keys, so a key that
     * has expired by the wall clock is claimed again and the log decides.
     */
    private async findExisting(partition: Partition, request: ClaimRequest): Promise<ClaimResult | undefined> {
        const held = partition.stream.folded.current().state.get(request.team, request.keyHash);
        return held === undefined || this.options.clock.wall() - held.claimedAt >= CLAIM_LIFETIME_MILLISECONDS
            ? undefined
            : await this.answer(partition, request);
    }

    private async answer({ stream }: Partition, request: ClaimRequest): Promise<ClaimResult | undefined> {
        const evaluation = evaluateClaim(stream.folded.current().state, request);
        const recorded = this.recorded.get(requestKey(request));
        if (
            evaluation.kind === "in-progress" && recorded !== undefined
            && evaluation.owner === this.options.author.daemon
        ) {
            const { outcome, status } = recorded;
            return { kind: "completed", outcome, status, answer: this.answers.find(request.team, request.keyHash) };
        }
        if (evaluation.kind === "in-progress") {
            return { kind: "in-progress", owner: evaluation.owner, claimedAt: evaluation.claimedAt };
        }
        if (evaluation.kind === "completed") {
            const { owner, incarnation, outcome, status } = evaluation;
            return { kind: "completed", outcome, status, answer: await this.findAnswer(owner, incarnation, request) };
        }
        return evaluation.kind === "mismatch" ? { kind: "mismatch" } : undefined;
    }

    /** A restarted daemon has lost the answers of its earlier incarnations, so it does not look them up. */
    private async findAnswer(owner: string, incarnation: string, { team, keyHash }: ClaimRequest) {
        const { author } = this.options;
        if (owner !== author.daemon) {
            return this.answers.fetch(owner, team, keyHash);
        }
        return incarnation === author.incarnation ? this.answers.find(team, keyHash) : undefined;
    }

    private nextId(kind: string): string {
        this.lastId += 1;
        const { daemon, incarnation } = this.options.author;
        return `${kind}.${daemon}.${incarnation}.${this.lastId}`;
    }
}

/** Returns whether a partition can decide claims. Only a complete history shows whether a key is free. */
function isUsable({ stream, writer }: Partition): boolean {
    const { platformReachable, caughtUp, halted } = stream.health();
    return platformReachable && caughtUp && halted === undefined && writer.undecided() < MAXIMUM_UNDECIDED_CLAIMS;
}

function requestKey({ team, keyHash }: ClaimRequest): string {
    return `${team}:${keyHash}`;
}

function unavailable(): ClaimResult {
    return { kind: "unavailable", retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
}
