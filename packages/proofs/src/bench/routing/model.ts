/** Simulates daemons, each with its own chooser, that send requests to modelled engines with delayed reports. */
import type { Candidate, RouteRequest } from "@damaskvale/core";
import { build, type Histogram } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { BLOCK_TOKENS, type EngineWork, ModelEngine } from "./engine.js";
import type { Chooser, Policy } from "./policies.js";

const TICK_MILLISECONDS = 5;
const REPORT_MILLISECONDS = 500;
/** Probability that a report of an engine has a gap in its cache events. */
const GAP_CHANCE = 0.02;
/** Capacity of the cache of one engine: ten prefixes of four blocks. */
const CACHE_BLOCKS = 40;
/** Start of a run, in which the engines fill up; it is not measured. */
const WARM_UP_MILLISECONDS = 10_000;

/** Load and faults of one scenario. */
export interface RoutingScenario {
    readonly name: string;
    readonly daemons: number;
    readonly engines: number;
    readonly requestsPerSecond: number;
    /** Delay until a report arrives at the daemons. */
    readonly reportLagMilliseconds: number;
    /** Number of distinct prompt prefixes; 0 if prompts share no prefix. */
    readonly prefixes: number;
    /** Fraction of all requests that have long answers; they all go to the first daemon. */
    readonly heavyShare: number;
    /** Factor by which the last engine is slower than the others. */
    readonly slowdownFactor: number;
}

type RequestShape = Pick<EngineWork, "prefixes" | "promptTokens" | "outputTokens">;

/** Measurements of one policy in one scenario. */
export interface RoutingOutcome {
    readonly firstToken: Histogram;
    readonly answer: Histogram;
    hits: number;
    blocksRequested: number;
    /** Number of requests sent to each engine after the warm-up. */
    readonly requests: number[];
}

/** Creates an empty outcome. */
export function createOutcome(engines: number): RoutingOutcome {
    const histogram = () =>
        build({ lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: 3 });
    return {
        firstToken: histogram(),
        answer: histogram(),
        hits: 0,
        blocksRequested: 0,
        requests: Array(engines).fill(0) as number[],
    };
}

/** Seed and duration of one run. */
export interface RoutingRun {
    readonly seed: number;
    /** Time during which requests arrive; the run ends when all of them are answered. */
    readonly milliseconds: number;
}

interface ScheduledDelivery {
    readonly at: number;
    readonly deliver: () => void;
}

/** Simulates one scenario with one policy and adds the measurements to the outcome. */
export function simulateRouting(
    scenario: RoutingScenario,
    policy: Policy,
    run: RoutingRun,
    outcome: RoutingOutcome,
): void {
    new RoutingSimulation(scenario, policy, run, outcome).play();
}

class RoutingSimulation {
    private readonly random;
    private readonly engines: readonly ModelEngine[];
    private readonly choosers: readonly Chooser[];
    private candidates: readonly Candidate[];
    private pendingDeliveries: ScheduledDelivery[] = [];
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
        (this.engines.at(-1) as ModelEngine).slowdownFactor = scenario.slowdownFactor;
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
                this.handleArrival(now);
                nextArrival -= Math.log(1 - this.randomFloat()) * 1_000 / this.scenario.requestsPerSecond;
            }
        }
        this.outcome.hits += this.engines.reduce((sum, { blocksHit }) => sum + blocksHit, 0);
        this.outcome.blocksRequested += this.engines.reduce((sum, { blocksRequested }) => sum + blocksRequested, 0);
    }

    private randomFloat(): number {
        return uniformFloat64(this.random);
    }

    private deliver(now: number): void {
        const due = this.pendingDeliveries.filter(({ at }) => at <= now);
        this.pendingDeliveries = this.pendingDeliveries.filter(({ at }) => at > now);
        due.forEach(({ deliver }) => deliver());
    }

    private report(now: number): void {
        const candidates = this.engines.map((engine, index) => ({
            ...this.candidates[index] as Candidate,
            load: { ...engine.load(), reportedAt: now },
        }));
        const changes = this.engines.map(engine => ({
            target: engine.name,
            change: engine.takeCacheChange(),
            gap: this.randomFloat() < GAP_CHANCE,
        }));
        const deliver = (): void => {
            this.candidates = candidates;
            this.choosers.forEach(chooser =>
                changes.forEach(({ target, change, gap }) =>
                    gap ? chooser.cacheGap(target) : chooser.cacheEvent(target, change)
                )
            );
        };
        this.pendingDeliveries.push({ at: now + this.scenario.reportLagMilliseconds, deliver });
    }

    private handleArrival(now: number): void {
        const heavy = this.randomFloat() < this.scenario.heavyShare;
        const daemon = heavy ? 0 : Math.floor(this.randomFloat() * this.scenario.daemons);
        const prefix = Math.floor(this.randomFloat() ** 2 * this.scenario.prefixes);
        const prefixes = this.scenario.prefixes === 0 ? [] : [0, 1, 2, 3].map(block => `p${prefix}.${block}`);
        const promptTokens = prefixes.length * BLOCK_TOKENS + 100 + Math.floor(this.randomFloat() * 400);
        const outputTokens = heavy
            ? 200 + Math.floor(this.randomFloat() * 300)
            : 20 + Math.floor(this.randomFloat() * 160);
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
            // The daemon observes the end of an iteration at the next tick.
            this.pendingDeliveries.push({ at, deliver: () => chooser.finished(observation) });
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
