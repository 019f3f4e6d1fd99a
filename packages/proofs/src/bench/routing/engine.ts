/**
 * Model of an engine with continuous batching. Each iteration processes prompt tokens up to a budget and generates one
 * token for each decoding request; its duration grows with both. Cached prompt blocks cost nothing.
 */
import { LRUCache } from "lru-cache";

/** The costs below have the order of magnitude of a large model on one replica. */
const ITERATION_MILLISECONDS = 18;
const TOKEN_MILLISECONDS = 0.6;
const PROMPT_TOKEN_MILLISECONDS = 0.06;
const PROMPT_TOKENS_PER_ITERATION = 1_024;
const BATCH_SIZE = 16;

/** Size of one prefix block in tokens. */
export const BLOCK_TOKENS = 512;

/** Request that an engine processes. Callbacks get the simulated time. */
export interface EngineWork {
    readonly prefixes: readonly string[];
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly firstToken: (at: number) => void;
    readonly finished: (at: number) => void;
}

interface ActiveRequest {
    readonly work: EngineWork;
    promptLeft: number;
    outputLeft: number;
}

/** Cache changes of an engine: the blocks that were stored and evicted. */
export interface CacheChange {
    readonly stored: string[];
    readonly evicted: string[];
}

/** Modelled engine. */
export class ModelEngine {
    readonly name: string;
    /** Factor by which iterations take longer than usual. */
    slowdownFactor = 1;
    requests = 0;
    tokens = 0;
    blocksHit = 0;
    blocksRequested = 0;
    private nextAt = 0;
    private readonly waiting: EngineWork[] = [];
    private active: ActiveRequest[] = [];
    private change: CacheChange = { stored: [], evicted: [] };
    private readonly cache: LRUCache<string, boolean>;

    constructor(name: string, cacheBlocks: number) {
        this.name = name;
        this.cache = new LRUCache<string, boolean>({
            max: cacheBlocks,
            dispose: (stored, block, reason) => {
                if (stored && reason === "evict") {
                    this.change.evicted.push(block);
                }
            },
        });
    }

    add(work: EngineWork): void {
        this.requests += 1;
        this.waiting.push(work);
    }

    load(): { running: number; queued: number; } {
        return { running: this.active.length, queued: this.waiting.length };
    }

    /** Returns the cache changes since the last call. */
    takeCacheChange(): CacheChange {
        const { change } = this;
        this.change = { stored: [], evicted: [] };
        return change;
    }

    /** Runs all iterations that start by `now`. */
    advance(now: number): void {
        while (this.nextAt <= now) {
            this.admit();
            const duration = this.runIteration(this.nextAt);
            this.nextAt += duration;
        }
    }

    private admit(): void {
        while (this.active.length < BATCH_SIZE && this.waiting.length > 0) {
            const work = this.waiting.shift() as EngineWork;
            const miss = work.prefixes.findIndex(block => this.cache.get(block) === undefined);
            const hit = miss < 0 ? work.prefixes.length : miss;
            this.blocksHit += hit;
            this.blocksRequested += work.prefixes.length;
            work.prefixes.slice(hit).forEach(block => {
                this.cache.set(block, true);
                this.change.stored.push(block);
            });
            const promptLeft = Math.max(1, work.promptTokens - hit * BLOCK_TOKENS);
            this.active.push({ work, promptLeft, outputLeft: work.outputTokens });
        }
    }

    private runIteration(startedAt: number): number {
        const decoding = this.active.filter(({ promptLeft }) => promptLeft <= 0);
        let budget = PROMPT_TOKENS_PER_ITERATION;
        this.active.filter(({ promptLeft }) => promptLeft > 0).forEach(request => {
            const taken = Math.min(budget, request.promptLeft);
            request.promptLeft -= taken;
            budget -= taken;
        });
        const prompt = (PROMPT_TOKENS_PER_ITERATION - budget) * PROMPT_TOKEN_MILLISECONDS;
        const duration = this.slowdownFactor * (ITERATION_MILLISECONDS + decoding.length * TOKEN_MILLISECONDS + prompt);
        const endsAt = startedAt + duration;
        this.tokens += decoding.length;
        decoding.forEach(request => {
            if (request.outputLeft === request.work.outputTokens) {
                request.work.firstToken(endsAt);
            }
            request.outputLeft -= 1;
            if (request.outputLeft <= 0) {
                request.work.finished(endsAt);
            }
        });
        this.active = this.active.filter(({ outputLeft }) => outputLeft > 0);
        return duration;
    }
}
