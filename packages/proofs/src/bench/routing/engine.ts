/**
 * Model of an engine with continuous batching: each iteration fills a prompt budget, gives each running request one
 * token, and takes longer the more it does. Prompt blocks that are in its cache cost nothing.
 */
import { LRUCache } from "lru-cache";

/** Costs are of the order of a large model on one replica. */
const ITERATION_MILLISECONDS = 18;
const TOKEN_MILLISECONDS = 0.6;
const PROMPT_TOKEN_MILLISECONDS = 0.06;
const PROMPT_TOKENS_PER_ITERATION = 1_024;
const BATCH = 16;

/** Tokens of one prefix block. */
export const BLOCK_TOKENS = 512;

/** Request at an engine. */
export interface EngineWork {
    readonly prefixes: readonly string[];
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly firstToken: (at: number) => void;
    readonly finished: (at: number) => void;
}

interface Active {
    readonly work: EngineWork;
    promptLeft: number;
    outputLeft: number;
}

/** Cache event of an engine. */
export interface CacheChange {
    readonly stored: string[];
    readonly evicted: string[];
}

/** Modelled engine. */
export class ModelEngine {
    readonly name: string;
    /** Duration of an iteration as a multiple of the usual one. */
    slowness = 1;
    requests = 0;
    tokens = 0;
    blocksHit = 0;
    blocksAsked = 0;
    private nextAt = 0;
    private readonly waiting: EngineWork[] = [];
    private active: Active[] = [];
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
    takeChange(): CacheChange {
        const { change } = this;
        this.change = { stored: [], evicted: [] };
        return change;
    }

    /** Runs the iterations that end by `now`. */
    advance(now: number): void {
        while (this.nextAt <= now) {
            this.admit();
            const duration = this.iterate(this.nextAt);
            this.nextAt += duration;
        }
    }

    private admit(): void {
        while (this.active.length < BATCH && this.waiting.length > 0) {
            const work = this.waiting.shift() as EngineWork;
            const miss = work.prefixes.findIndex(block => this.cache.get(block) === undefined);
            const hit = miss < 0 ? work.prefixes.length : miss;
            this.blocksHit += hit;
            this.blocksAsked += work.prefixes.length;
            work.prefixes.slice(hit).forEach(block => {
                this.cache.set(block, true);
                this.change.stored.push(block);
            });
            const promptLeft = Math.max(1, work.promptTokens - hit * BLOCK_TOKENS);
            this.active.push({ work, promptLeft, outputLeft: work.outputTokens });
        }
    }

    private iterate(startedAt: number): number {
        const decoding = this.active.filter(({ promptLeft }) => promptLeft <= 0);
        let budget = PROMPT_TOKENS_PER_ITERATION;
        this.active.filter(({ promptLeft }) => promptLeft > 0).forEach(request => {
            const taken = Math.min(budget, request.promptLeft);
            request.promptLeft -= taken;
            budget -= taken;
        });
        const prompt = (PROMPT_TOKENS_PER_ITERATION - budget) * PROMPT_TOKEN_MILLISECONDS;
        const duration = this.slowness * (ITERATION_MILLISECONDS + decoding.length * TOKEN_MILLISECONDS + prompt);
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
