/** Plays arrivals at several daemons, each with its own chooser, against modelled engines with lagging reports. */
import type { Candidate, RouteRequest } from "@damaskvale/core";
import { build, type Histogram } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { BLOCK_TOKENS, type EngineWork, ModelEngine } from "./engine.js";
import type { Chooser, Policy } from "./policies.js";

const TICK_MILLISECONDS = 5;
const REPORT_MILLISECONDS = 500;
/** Chance that the cache events of an engine have a gap at one report. */
const GAP_CHANCE = 0.02;
/** Ten prefixes of four blocks. */
const CACHE_BLOCKS = 40;
/** The first part of a run fills the engines and is not measured. */
const WARM_UP_MILLISECONDS = 10_000;

/** Load and faults of one comparison. */
export interface RoutingScenario {
    readonly name: string;
    readonly daemons: number;
    readonly engines: number;
    readonly requestsPerSecond: number;
    /** Time from a report to its arrival at the daemons. */
    readonly reportLagMilliseconds: number;
    /** Distinct prompt prefixes; 0 means that no prompt shares one. */
    readonly prefixes: number;
    /** Share of all requests that reach the first daemon, with long answers. */
    readonly heavyShare: number;
    /** Slowness of the last engine. */
    readonly slowness: number;
}

type RequestShape = Pick<EngineWork, "prefixes" | "promptTokens" | "outputTokens">;

/** What one policy did in one scenario. */
export interface RoutingOutcome {
    readonly firstToken: Histogram;
    readonly answer: Histogram;
    hits: number;
    asked: number;
    /** Requests of each engine in the measured time. */
    readonly requests: number[];
}

/** Makes an empty outcome. */
export function emptyOutcome(engines: number): RoutingOutcome {
    const histogram = () =>
        build({ lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: 3 });
    return {
        firstToken: histogram(),
        answer: histogram(),
        hits: 0,
        asked: 0,
        requests: Array(engines).fill(0) as number[],
    };
}

/** One run of one policy. */
export interface RoutingRun {
    readonly seed: number;
    /** Time in which requests arrive; the engines then work until all have their answer. */
    readonly milliseconds: number;
}

interface Letter {
    readonly at: number;
    readonly deliver: () => void;
}

/** Plays one scenario with one policy and adds what it did to the outcome. */
export function playRouting(scenario: RoutingScenario, policy: Policy, run: RoutingRun, outcome: RoutingOutcome): void {
    new Play(scenario, policy, run, outcome).play();
}

class Play {
    private readonly random;
    private readonly engines: readonly ModelEngine[];
    private readonly choosers: readonly Chooser[];
    private candidates: readonly Candidate[];
    private mail: Letter[] = [];
    private open = 0;

    constructor(
        private readonly scenario: RoutingScenario,
        policy: Policy,
        private readonly run: RoutingRun,
        private readonly outcome: RoutingOutcome,
    ) {
        this.random = xoroshiro128plus(run.seed);
        this.engines = [...Array(scenario.engines).keys()].map(index => new ModelEngine(`g${index}`, CACHE_BLOCKS));
        this.choosers = [...Array(scenario.daemons).keys()].map(index => policy.create(run.seed * 1_000 + index * 7));
        this.candidates = this.engines.map(({ name }) => ({ target: name, weight: 1, readySince: -1e6 }));
        (this.engines.at(-1) as ModelEngine).slowness = scenario.slowness;
    }

    play(): void {
        let nextArrival = 0;
        for (let now = 0; now < this.run.milliseconds || this.open > 0; now += TICK_MILLISECONDS) {
            this.engines.forEach(engine => engine.advance(now));
            if (now % REPORT_MILLISECONDS === 0) {
                this.report(now);
            }
            this.deliver(now);
            while (nextArrival <= now && now < this.run.milliseconds) {
                this.arrive(now);
                nextArrival -= Math.log(1 - this.float()) * 1_000 / this.scenario.requestsPerSecond;
            }
        }
        this.outcome.hits += this.engines.reduce((sum, { blocksHit }) => sum + blocksHit, 0);
        this.outcome.asked += this.engines.reduce((sum, { blocksAsked }) => sum + blocksAsked, 0);
    }

    private float(): number {
        return uniformFloat64(this.random);
    }

    private deliver(now: number): void {
        const due = this.mail.filter(({ at }) => at <= now);
        this.mail = this.mail.filter(({ at }) => at > now);
        due.forEach(({ deliver }) => deliver());
    }

    private report(now: number): void {
        const candidates = this.engines.map((engine, index) => ({
            ...this.candidates[index] as Candidate,
            load: { ...engine.load(), reportedAt: now },
        }));
        const changes = this.engines.map(engine => ({
            target: engine.name,
            change: engine.takeChange(),
            gap: this.float() < GAP_CHANCE,
        }));
        const deliver = (): void => {
            this.candidates = candidates;
            this.choosers.forEach(chooser =>
                changes.forEach(({ target, change, gap }) =>
                    gap ? chooser.cacheGap(target) : chooser.cacheEvent(target, change)
                )
            );
        };
        this.mail.push({ at: now + this.scenario.reportLagMilliseconds, deliver });
    }

    private arrive(now: number): void {
        const heavy = this.float() < this.scenario.heavyShare;
        const daemon = heavy ? 0 : Math.floor(this.float() * this.scenario.daemons);
        const prefix = Math.floor(this.float() ** 2 * this.scenario.prefixes);
        const prefixes = this.scenario.prefixes === 0 ? [] : [0, 1, 2, 3].map(block => `p${prefix}.${block}`);
        const promptTokens = prefixes.length * BLOCK_TOKENS + 100 + Math.floor(this.float() * 400);
        const outputTokens = heavy ? 200 + Math.floor(this.float() * 300) : 20 + Math.floor(this.float() * 160);
        this.dispatch(this.choosers[daemon] as Chooser, { prefixes, promptTokens, outputTokens }, now);
    }

    private dispatch(chooser: Chooser, shape: RequestShape, now: number): void {
        const request: RouteRequest = { prefixes: shape.prefixes, priority: 5, excluded: [] };
        const target = chooser.choose(this.candidates, request, now);
        const index = this.engines.findIndex(({ name }) => name === target);
        const measured = now >= WARM_UP_MILLISECONDS;
        let firstTokenMilliseconds = 0;
        chooser.sent(target, request, now);
        this.open += 1;
        if (measured) {
            this.outcome.requests[index] = (this.outcome.requests[index] ?? 0) + 1;
        }
        const finished = (at: number): void => {
            this.open -= 1;
            const observation = { target, finishedAt: at, result: "complete" as const, firstTokenMilliseconds };
            // The daemon learns of the end of an iteration at the next tick.
            this.mail.push({ at, deliver: () => chooser.finished(observation) });
            if (measured) {
                this.outcome.answer.recordValue(Math.round(at - now));
            }
        };
        const firstToken = (at: number): void => {
            firstTokenMilliseconds = at - now;
            if (measured) {
                this.outcome.firstToken.recordValue(Math.round(firstTokenMilliseconds));
            }
        };
        this.engines[index]?.add({ ...shape, firstToken, finished });
    }
}
