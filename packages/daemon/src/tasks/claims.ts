/** Claims of not repeatable requests over the partitions of the claims streams. */
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
    /** Streams of the partitions, in order. */
    readonly streams: readonly Stream<ClaimsState, ClaimsBody>[];
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
    readonly random: () => number;
    readonly maximumAnswerBytes?: number;
}

/** Claims with their task. */
export interface ClaimsTask extends Claims {
    /** Waits until all releases and outcomes are decided. Returns whether that happened within the time. */
    drain(timeoutMilliseconds: number): Promise<boolean>;
    stop(): void;
}

const DEFAULT_MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;
const RETRY_AFTER_MILLISECONDS = 1_000;
/** Claims of ambiguous records in one partition, above which new claims are refused; bounds the memory. */
const MAXIMUM_UNDECIDED = 4_096;
const DRAIN_CHECK_MILLISECONDS = 20;
/** Outcomes kept until the fold shows them; far more than one daemon records between two reads of the log. */
const MAXIMUM_RECORDED = 1_024;

interface Partition {
    readonly stream: Stream<ClaimsState, ClaimsBody>;
    readonly writer: ClaimWriter;
}

interface Held {
    readonly partition: Partition;
    readonly request: ClaimRequest;
}

interface Recorded {
    readonly outcome: Outcome;
    readonly status: number;
}

/** Makes the claims of a daemon. */
export function createClaims(options: ClaimsOptions): ClaimsTask {
    return new ClaimsOfDaemon(options);
}

class ClaimsOfDaemon implements ClaimsTask {
    private readonly held = new Map<string, Held>();
    /** Outcomes recorded by this daemon that its fold may not show yet. */
    private readonly recorded = new Map<string, Recorded>();
    private readonly partitions: readonly Partition[];
    private readonly answers;
    private counter = 0;

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
        const result = await this.decide(request);
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
            this.recorded.set(recordedKey(held.request), { outcome, status });
            const oldest = [...this.recorded.keys()].slice(0, Math.max(0, this.recorded.size - MAXIMUM_RECORDED));
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

    private async decide(request: ClaimRequest): Promise<ClaimResult> {
        const { team, keyHash, bodyHash } = request;
        const partition = this.partitions[claimPartition(team, keyHash, this.partitions.length)];
        // A key that is known to be claimed is never told "not run", whether the log can be reached or not.
        const known = partition === undefined ? undefined : await this.known(partition, request);
        if (known !== undefined) {
            return known;
        }
        if (partition === undefined || !isUsable(partition)) {
            return unavailable();
        }
        const claim = this.nextId("claim");
        const result = await partition.writer.claim({ claim, team, keyHash, bodyHash });
        if (result !== "decided") {
            return unavailable();
        }
        const judged = evaluateClaim(partition.stream.folded.current().state, { claim, team, keyHash, bodyHash });
        if (judged.kind !== "held") {
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
     * Answers a repeat without a record. A quiet stream drops no expired key, so a key that looks expired by the wall
     * clock is claimed again and the log decides.
     */
    private async known(partition: Partition, request: ClaimRequest): Promise<ClaimResult | undefined> {
        const held = partition.stream.folded.current().state.get(request.team, request.keyHash);
        return held === undefined || this.options.clock.wall() - held.claimedAt >= CLAIM_LIFETIME_MILLISECONDS
            ? undefined
            : await this.answer(partition, request);
    }

    private async answer({ stream }: Partition, request: ClaimRequest): Promise<ClaimResult | undefined> {
        const judged = evaluateClaim(stream.folded.current().state, request);
        const recorded = this.recorded.get(recordedKey(request));
        if (judged.kind === "in-progress" && recorded !== undefined && judged.owner === this.options.author.daemon) {
            const { outcome, status } = recorded;
            return { kind: "completed", outcome, status, answer: this.answers.find(request.team, request.keyHash) };
        }
        if (judged.kind === "in-progress") {
            return { kind: "in-progress", owner: judged.owner, claimedAt: judged.claimedAt };
        }
        if (judged.kind === "completed") {
            const { owner, incarnation, outcome, status } = judged;
            return { kind: "completed", outcome, status, answer: await this.findAnswer(owner, incarnation, request) };
        }
        return judged.kind === "mismatch" ? { kind: "mismatch" } : undefined;
    }

    /** A restarted daemon has lost the answers of its earlier incarnations, so it is not asked about its own. */
    private async findAnswer(owner: string, incarnation: string, { team, keyHash }: ClaimRequest) {
        const { author } = this.options;
        if (owner !== author.daemon) {
            return this.answers.fetch(owner, team, keyHash);
        }
        return incarnation === author.incarnation ? this.answers.find(team, keyHash) : undefined;
    }

    private nextId(kind: string): string {
        this.counter += 1;
        const { daemon, incarnation } = this.options.author;
        return `${kind}.${daemon}.${incarnation}.${this.counter}`;
    }
}

/** A partition whose history is not known whole cannot tell whether a key is free. */
function isUsable({ stream, writer }: Partition): boolean {
    const { platformReachable, caughtUp, halted } = stream.health();
    return platformReachable && caughtUp && halted === undefined && writer.undecided() < MAXIMUM_UNDECIDED;
}

function recordedKey({ team, keyHash }: ClaimRequest): string {
    return `${team}:${keyHash}`;
}

function unavailable(): ClaimResult {
    return { kind: "unavailable", retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
}
