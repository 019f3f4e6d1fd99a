/**
 * Admission control of one daemon. A request is admitted immediately if its team's limits and the daemon's capacity
 * allow it, queued if they are expected to allow it soon, and refused otherwise. The owner calls `poll` after each
 * change and at short intervals while requests are queued, because token buckets refill over time.
 */
import { createDrainMeter } from "./drain.js";
import { FairQueue, type QueuedRequest } from "./fairqueue.js";
import { createTeamLimits, type TeamLimits } from "./limits.js";
import { clampRetryAfter, computeRetryAfter, createRetryAfterSchedule, type RetryAfterSchedule } from "./retryafter.js";
import type { Admission, AdmissionDecision, AdmissionRequest, TeamShare } from "./types.js";

/** Maximum time that a request is queued for its team's rate limits; a longer wait is refused. */
const MAXIMUM_RATE_WAIT_MILLISECONDS = 1_000;
/** Service time assumed until the first request has finished. */
const ASSUMED_SERVICE_TIME_MILLISECONDS = 1_000;
/** Minimum retry-after time while the daemon has no capacity. */
const MINIMUM_NO_CAPACITY_RETRY_AFTER_MILLISECONDS = 5_000;
/** Retry-after time for a team without a row in the table. */
const UNKNOWN_TEAM_RETRY_AFTER_MILLISECONDS = 5_000;

/** Options of `createAdmission`. */
export interface AdmissionOptions {
    /** Maximum number of requests in progress until `setCapacity` is called. */
    readonly capacity?: number;
}

interface TeamState {
    share: TeamShare;
    readonly limits: TeamLimits;
    readonly retrySchedule: RetryAfterSchedule;
}

interface RunningRequest {
    readonly request: AdmissionRequest;
    readonly limits: TeamLimits;
    readonly startedAt: number;
}

type Refusal = { readonly id: string; readonly decision: AdmissionDecision; };
type RefusalCode = Extract<AdmissionDecision, { kind: "refused"; }>["code"];

const refused = (code: RefusalCode, retryAfterMilliseconds: number): AdmissionDecision => ({
    kind: "refused",
    code,
    retryAfterMilliseconds,
});

/** Creates an admission without teams. */
export function createAdmission(options: AdmissionOptions = {}): Admission {
    return new FairAdmission(options);
}

class FairAdmission implements Admission {
    private readonly queue = new FairQueue();
    private readonly drainMeter = createDrainMeter();
    private readonly teams = new Map<string, TeamState>();
    private readonly running = new Map<string, RunningRequest>();
    private readonly activeIds = new Set<string>();
    private readonly offeredCounts = new Map<string, number>();
    private refusals: Refusal[] = [];
    private capacity: number;
    private drainCapacity: number;
    private demandWindowStart: number | undefined;

    constructor({ capacity = 0 }: AdmissionOptions) {
        this.capacity = capacity;
        this.drainCapacity = Math.max(1, capacity);
    }

    configure(shares: readonly TeamShare[], now: number): void {
        const names = new Set(shares.map(({ team }) => team));
        this.refuseQueued(
            this.queue.removeExcept(names),
            () => refused("rate_limited", UNKNOWN_TEAM_RETRY_AFTER_MILLISECONDS),
        );
        [...this.teams.keys()].filter(name => !names.has(name)).forEach(name => this.teams.delete(name));
        shares.forEach(share => {
            const team = this.teams.get(share.team);
            team?.limits.configure(share, now);
            const limits = team?.limits ?? createTeamLimits(share, now);
            this.teams.set(share.team, {
                share,
                limits,
                retrySchedule: team?.retrySchedule ?? createRetryAfterSchedule(),
            });
        });
        this.queue.configure(new Map(shares.map(({ team, weight }) => [team, weight])));
    }

    setCapacity(capacity: number): void {
        this.capacity = capacity;
        this.drainCapacity = capacity > 0 ? capacity : this.drainCapacity;
    }

    offer(request: AdmissionRequest, now: number): AdmissionDecision {
        if (this.activeIds.has(request.id)) {
            throw new Error(`request ${request.id} has already been offered`);
        }
        this.demandWindowStart ??= now;
        this.offeredCounts.set(request.team, (this.offeredCounts.get(request.team) ?? 0) + 1);
        const team = this.teams.get(request.team);
        if (team === undefined) {
            return refused("rate_limited", UNKNOWN_TEAM_RETRY_AFTER_MILLISECONDS);
        }
        const refusal = this.refusalFor(request, team, now);
        if (refusal !== undefined) {
            return refusal;
        }
        const idle = this.queue.waiting(request.team).length === 0 && !this.queue.hasStartable(this.canStart(now));
        if (idle && this.running.size < this.capacity && team.limits.allows(request.tokens, now)) {
            this.queue.charge(request.team, request.tokens);
            this.start(request, now);
            return { kind: "admitted" };
        }
        return this.enqueue(request, team, now);
    }

    finish(id: string, tokens: number, now: number): void {
        const running = this.running.get(id);
        if (running === undefined) {
            return;
        }
        const difference = tokens - running.request.tokens;
        running.limits.finish(difference, now);
        this.queue.settle(running.request.team, difference);
        this.drainMeter.recordCompletion(now - running.startedAt);
        this.running.delete(id);
        this.activeIds.delete(id);
    }

    cancel(id: string): void {
        if (this.queue.remove(id) !== undefined) {
            this.activeIds.delete(id);
        }
        this.refusals = this.refusals.filter(refusal => refusal.id !== id);
    }

    poll(now: number): ReturnType<Admission["poll"]> {
        this.refuseQueued(
            this.queue.removeExpired(now),
            ({ request }) => refused("deadline_exceeded", this.retryAfter(request.team, now)),
        );
        const refusals = this.refusals;
        this.refusals = [];
        return { admitted: this.drain(now), refused: refusals };
    }

    demand(now: number): ReadonlyMap<string, number> {
        const elapsed = now - (this.demandWindowStart ?? now);
        const rates = [...this.offeredCounts].map(([team, count]) =>
            [team, elapsed > 0 ? count * 1_000 / elapsed : 0] as const
        );
        this.offeredCounts.clear();
        this.demandWindowStart = now;
        return new Map(rates);
    }

    private readonly canStart = (now: number) => ({ team, tokens }: AdmissionRequest): boolean =>
        this.teams.get(team)?.limits.allows(tokens, now) ?? false;

    private drain(now: number): readonly string[] {
        const admitted: string[] = [];
        while (this.running.size < this.capacity) {
            const next = this.queue.next(this.canStart(now));
            if (next === undefined) {
                break;
            }
            this.start(next.request, now);
            admitted.push(next.request.id);
        }
        return admitted;
    }

    private start(request: AdmissionRequest, now: number): void {
        const limits = (this.teams.get(request.team) as TeamState).limits;
        limits.start(request.tokens, now);
        this.running.set(request.id, { request, limits, startedAt: now });
        this.activeIds.add(request.id);
    }

    /** Returns a refusal for a passed deadline or an exhausted rate limit, before the queue is considered. */
    private refusalFor(request: AdmissionRequest, team: TeamState, now: number): AdmissionDecision | undefined {
        if (request.deadlineAt <= now) {
            return refused("deadline_exceeded", this.retryAfter(request.team, now));
        }
        const waiting = this.queue.waiting(request.team);
        const queuedTokens = waiting.reduce((sum, { request: queued }) => sum + queued.tokens, 0);
        const rateWait = team.limits.waitMilliseconds(waiting.length, queuedTokens, request.tokens, now);
        if (rateWait <= Math.min(MAXIMUM_RATE_WAIT_MILLISECONDS, request.deadlineAt - now)) {
            return undefined;
        }
        const perSecond = team.share.requestsPerSecond ?? this.drainRateOf(request.team);
        return refused("rate_limited", team.retrySchedule.reserve(rateWait, perSecond, now));
    }

    private enqueue(request: AdmissionRequest, team: TeamState, now: number): AdmissionDecision {
        const waiting = this.queue.waiting(request.team).length;
        if (waiting >= team.share.queueLength) {
            const evicted = this.queue.evictLowerPriority(request.team, request.priority);
            if (evicted === undefined) {
                return refused("queue_full", this.retryAfter(request.team, now));
            }
            this.refuseQueued([evicted], () => refused("queue_full", this.retryAfter(request.team, now)));
        }
        const position = this.queue.add(request, now);
        if (this.capacity > 0 && now + (position + 1) * 1_000 / this.drainRateOf(request.team) > request.deadlineAt) {
            this.queue.remove(request.id);
            return refused("queue_full", this.retryAfter(request.team, now));
        }
        this.activeIds.add(request.id);
        return { kind: "queued", position };
    }

    /** Reserves a retry time for a team, after its queue has drained at the measured rate. */
    private retryAfter(name: string, now: number): number {
        const perSecond = this.drainRateOf(name);
        const earliest = computeRetryAfter({ ahead: this.queue.waiting(name).length, drainPerSecond: perSecond });
        const minimum = this.capacity > 0 ? earliest : Math.max(earliest, MINIMUM_NO_CAPACITY_RETRY_AFTER_MILLISECONDS);
        return this.teams.get(name)?.retrySchedule.reserve(minimum, perSecond, now) ?? clampRetryAfter(minimum);
    }

    /** Estimates the drain rate of a team's queue in requests per second, while the teams that wait now compete. */
    private drainRateOf(name: string): number {
        const perSlot = this.drainMeter.perSecond(1) ?? 1_000 / ASSUMED_SERVICE_TIME_MILLISECONDS;
        const { concurrency, requestsPerSecond } = this.teams.get(name)?.share ?? {};
        return Math.min(
            this.drainCapacity * perSlot * this.queue.shareOf(name),
            (concurrency ?? Number.POSITIVE_INFINITY) * perSlot,
            requestsPerSecond ?? Number.POSITIVE_INFINITY,
        );
    }

    private refuseQueued(
        queuedRequests: readonly QueuedRequest[],
        decide: (queued: QueuedRequest) => AdmissionDecision,
    ): void {
        queuedRequests.forEach(queued => {
            this.activeIds.delete(queued.request.id);
            this.refusals.push({ id: queued.request.id, decision: decide(queued) });
        });
    }
}
