/**
 * Plays the load of a fleet in which callers compete for slots: daemons that decide alone from loads that are 240 to 480 ms
 * old, groups that queue what exceeds their slots, and callers that return once after a refusal. A plain function of its seed.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type PlacementCandidate, placeRequest } from "../../placement/place.js";
import { engine, model, PlayedGroup, type PlayedStream } from "./playedengine.js";
import type { PlayedPolicy, PolicyFactory } from "./playedpolicies.js";
import { createTally, type Outcome, type PlayedResult, type Tally } from "./playedtally.js";

/** Requests of one priority. */
export interface PlayedKind {
    readonly priority: number;
    readonly objectiveMilliseconds: number;
    readonly perSecond: (seconds: number) => number;
}

/** A load and what happens to the groups. */
export interface PlayedLoad {
    readonly name: string;
    readonly kinds: readonly PlayedKind[];
    readonly groups: number;
    /** Share of the groups that is lost for good at this time. */
    readonly loss?: { readonly share: number; readonly atSeconds: number; };
    /** Requests that arrive from here on are counted. */
    readonly countedFromSeconds: number;
    readonly countedUntilSeconds: number;
}

/** One attempt of a caller. */
export interface PlayedAttempt {
    readonly kind: PlayedKind;
    readonly daemon: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly draw: number;
    readonly arrivedAt: number;
    readonly isReturn: boolean;
    readonly end: (outcome: Outcome, heldTooLong: boolean) => void;
}

export const DAEMONS = 81;
export const DEADLINE_MILLISECONDS = 6_000;
const STEP_MILLISECONDS = 5;
const SNAPSHOT_STEPS = 12;
/** Age of the loads of other daemons in snapshots of 60 ms: 240 to 480 ms. */
const LEAST_AGE_SNAPSHOTS = 4;
const MOST_AGE_SNAPSHOTS = 8;
/** Requests still end after the last one that is counted. */
const TAIL_SECONDS = 8;
/** Deviation of the logarithm of prompt and output lengths. */
const SIZE_DEVIATION = 0.8;

/** Plays a load with a policy. */
export function playFleet(load: PlayedLoad, createPolicy: PolicyFactory, seed: number): PlayedResult {
    return new PlayedFleet(load, createPolicy, seed).play();
}

class PlayedFleet {
    private readonly generator;
    private readonly groups: PlayedGroup[];
    private readonly policies: readonly PlayedPolicy[];
    private readonly tally: Tally = createTally();
    /** Requests in progress by daemon and group. */
    private readonly own: readonly number[][];
    private snapshots: { readonly total: number[]; readonly own: number[][]; }[] = [];
    private waiting: { readonly attempt: PlayedAttempt; readonly until: number; }[] = [];
    private returns: { readonly at: number; readonly start: (now: number) => void; }[] = [];

    constructor(private readonly load: PlayedLoad, createPolicy: PolicyFactory, seed: number) {
        this.generator = xoroshiro128plus(seed);
        const { order, create } = createPolicy;
        this.groups = Array.from({ length: load.groups }, () => new PlayedGroup(order));
        this.own = Array.from({ length: DAEMONS }, () => Array.from({ length: load.groups }, () => 0));
        this.policies = Array.from({ length: DAEMONS }, () => create(this.random));
    }

    play(): PlayedResult {
        const endsAt = (this.load.countedUntilSeconds + TAIL_SECONDS) * 1_000;
        for (let now = 0, step = 0; now < endsAt; now += STEP_MILLISECONDS, step += 1) {
            this.groups.forEach((group, index) =>
                group.advance(now, STEP_MILLISECONDS).forEach(stream => this.count(stream.daemon, index, -1))
            );
            if (step % SNAPSHOT_STEPS === 0) {
                const snapshot = {
                    total: this.groups.map(group => group.inProgress()),
                    own: this.own.map(counts => [...counts]),
                };
                this.snapshots = [snapshot, ...this.snapshots].slice(0, MOST_AGE_SNAPSHOTS + 1);
            }
            this.loseGroups(now);
            this.decideWaiting(now);
            const due = this.returns.filter(({ at }) => at <= now);
            this.returns = this.returns.filter(({ at }) => at > now);
            due.forEach(({ start }) => start(now));
            this.arrive(now);
        }
        return this.tally.result();
    }

    private readonly random = (): number => uniformFloat64(this.generator);

    private count(daemon: number, group: number, change: number): void {
        const counts = this.own[daemon];
        if (counts !== undefined) {
            counts[group] = (counts[group] ?? 0) + change;
        }
    }

    private arrive(now: number): void {
        this.load.kinds.forEach(kind => {
            // With steps this short, two arrivals of a kind in one step matter for the most frequent kind only.
            let expected = kind.perSecond(now / 1_000) * STEP_MILLISECONDS / 1_000;
            for (; expected > 0; expected -= 1) {
                if (this.random() < Math.min(1, expected)) {
                    this.newRequest(kind, now);
                }
            }
        });
    }

    private newRequest(kind: PlayedKind, now: number): void {
        const promptTokens = this.length(engine.meanPromptTokens);
        const outputTokens = this.length(engine.meanOutputTokens);
        const { countedFromSeconds, countedUntilSeconds } = this.load;
        const isCounted = now >= countedFromSeconds * 1_000 && now < countedUntilSeconds * 1_000;
        const record = (outcome: Outcome, heldTooLong: boolean, isReturn: boolean): void => {
            if (isCounted) {
                const tokens = promptTokens + outputTokens;
                this.tally.record({ priority: kind.priority, tokens, outcome, heldTooLong, isReturn });
            }
        };
        const attempt = (at: number, isReturn: boolean): void =>
            this.decide(
                {
                    ...{ kind, promptTokens, outputTokens, arrivedAt: at, isReturn, draw: this.random() },
                    daemon: Math.floor(this.random() * DAEMONS),
                    end: (outcome, heldTooLong) => record(outcome, heldTooLong, isReturn),
                },
                at,
                (delay, heldTooLong) => {
                    if (isReturn) {
                        record("refused", heldTooLong, true);
                        return;
                    }
                    this.returns.push({ at: at + delay, start: later => attempt(later, true) });
                },
            );
        attempt(now, false);
    }

    /** Returns a length whose mean is this and whose logarithm is normally distributed. */
    private length(mean: number): number {
        const normal = Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
        return Math.max(1, Math.round(mean * Math.exp(SIZE_DEVIATION * normal - SIZE_DEVIATION ** 2 / 2)));
    }

    private readonly refusals = new Map<PlayedAttempt, (delay: number, heldTooLong: boolean) => void>();

    private decide(attempt: PlayedAttempt, now: number, refuse: (delay: number, held: boolean) => void): void {
        this.refusals.set(attempt, refuse);
        this.policies[attempt.daemon]?.recordArrival(attempt, now);
        this.decideAgain(attempt, now, now + attempt.kind.objectiveMilliseconds / 8);
    }

    private decideWaiting(now: number): void {
        const { waiting } = this;
        this.waiting = [];
        waiting.forEach(({ attempt, until }) => this.decideAgain(attempt, now, until));
    }

    private decideAgain(attempt: PlayedAttempt, now: number, until: number): void {
        const policy = this.policies[attempt.daemon] as PlayedPolicy;
        const candidates = this.candidatesOf(attempt.daemon);
        const decision = policy.decide({ attempt, candidates, now, waitLeft: until - now });
        if (decision.kind === "wait") {
            this.waiting.push({ attempt, until });
            return;
        }
        const refuse = this.refusals.get(attempt);
        this.refusals.delete(attempt);
        const placement = decision.kind === "serve" ? this.place(attempt, candidates, now) : undefined;
        if (placement?.kind === "placed") {
            policy.recordOutcome(true, now);
            this.send(attempt, Number(placement.head), now);
            return;
        }
        policy.recordOutcome(false, now);
        const delay = policy.returnMilliseconds({ placement, candidates, now });
        refuse?.(delay, now - attempt.arrivedAt > attempt.kind.objectiveMilliseconds / 8 + STEP_MILLISECONDS);
    }

    private place({ promptTokens, daemon }: PlayedAttempt, candidates: readonly PlacementCandidate[], now: number) {
        const { loss } = this.load;
        return placeRequest({
            ...{ engine, model, candidates, promptTokens, random: this.random },
            dataCentre: String(daemon % 3),
            remainingMilliseconds: DEADLINE_MILLISECONDS,
            recovering: loss !== undefined && now > loss.atSeconds * 1_000 && now < loss.atSeconds * 1_000 + 10_000,
        });
    }

    private send(attempt: PlayedAttempt, index: number, now: number): void {
        const { daemon, kind, promptTokens, outputTokens } = attempt;
        const stream: PlayedStream = {
            ...{ daemon, priority: kind.priority, promptTokens, outputTokens, tokensLeft: outputTokens },
            firstEventAt: 0,
            hasStarted: false,
            onFirstEvent: at => {
                const took = at - attempt.arrivedAt;
                attempt.end(
                    took <= kind.objectiveMilliseconds ? "in time" : took <= DEADLINE_MILLISECONDS ? "late" : "refused",
                    false,
                );
            },
        };
        this.count(daemon, index, 1);
        this.groups[index]?.add(stream, now);
    }

    private candidatesOf(daemon: number): PlacementCandidate[] {
        const age = LEAST_AGE_SNAPSHOTS + daemon % (MOST_AGE_SNAPSHOTS - LEAST_AGE_SNAPSHOTS + 1);
        const known = this.snapshots[Math.min(age, this.snapshots.length - 1)];
        return this.groups.flatMap((group, index) => {
            const others = Math.max(0, (known?.total[index] ?? 0) - (known?.own[daemon]?.[index] ?? 0));
            return group.isLost ? [] : [{
                head: String(index),
                dataCentre: String(index % 3),
                inProgress: (this.own[daemon]?.[index] ?? 0) + others,
                pendingPromptTokens: 0,
                suspected: false,
                waitMilliseconds: 0,
                slowness: 1,
                isConnected: false,
            }];
        });
    }

    /** Loses groups; their streams go on at others, as moved streams, which no admission holds back. */
    private loseGroups(now: number): void {
        const { loss } = this.load;
        if (loss === undefined || now !== loss.atSeconds * 1_000) {
            return;
        }
        const lost = this.groups.slice(0, Math.round(loss.share * this.groups.length));
        lost.forEach(group => {
            group.isLost = true;
        });
        lost.forEach((group, index) => {
            const streams = [...group.running, ...group.waiting];
            group.running = [];
            group.waiting = [];
            streams.forEach(stream => {
                this.count(stream.daemon, index, -1);
                const candidates = this.candidatesOf(stream.daemon).filter(({ inProgress }) =>
                    inProgress < engine.slots
                );
                const chosen = candidates[Math.floor(this.random() * candidates.length)];
                if (chosen !== undefined) {
                    this.count(stream.daemon, Number(chosen.head), 1);
                    this.groups[Number(chosen.head)]?.add(stream, now);
                }
            });
        });
    }
}
