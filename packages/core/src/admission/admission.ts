/**
 * Admission of one daemon. A request starts at once when its team's limits and the daemon's capacity allow it, waits
 * in the fair queue when they will soon, and is refused at once otherwise. The owner calls `poll` after each change
 * and at short intervals while requests wait, because rates refill with time.
 */
import { createDrainMeter } from "./drain.js";
import { FairQueue, type Waiting } from "./fairqueue.js";
import { createTeamLimits, type TeamLimits } from "./limits.js";
import { boundRetryAfter, computeRetryAfter, createRetryAfterSchedule, type RetryAfterSchedule } from "./retryafter.js";
import type { Admission, AdmissionDecision, AdmissionRequest, TeamShare } from "./types.js";

/** A request waits for its team's rates this long at most; beyond that it is refused. */
const RATE_WAIT_MILLISECONDS = 1_000;
/** Service time assumed until a request has ended. */
const ASSUMED_SERVICE_MILLISECONDS = 1_000;
/** Least time to come back while there is no capacity at all. */
const NO_CAPACITY_RETRY_AFTER_MILLISECONDS = 5_000;
/** Time to come back for a team that has no row. */
const UNKNOWN_TEAM_RETRY_AFTER_MILLISECONDS = 5_000;

/** Options of `createAdmission`. */
export interface AdmissionOptions {
    /** Maximum requests in progress until `setCapacity` is called. */
    readonly capacity?: number;
}

interface Team {
    share: TeamShare;
    readonly limits: TeamLimits;
    readonly returns: RetryAfterSchedule;
}

interface Running {
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

/** Makes an admission without teams. */
export function createAdmission(options: AdmissionOptions = {}): Admission {
    return new FairAdmission(options);
}

class FairAdmission implements Admission {
    private readonly queue = new FairQueue();
    private readonly meter = createDrainMeter();
    private readonly teams = new Map<string, Team>();
    private readonly running = new Map<string, Running>();
    private readonly known = new Set<string>();
    private readonly offered = new Map<string, number>();
    private refusals: Refusal[] = [];
    private capacity: number;
    private drainCapacity: number;
    private demandSince: number | undefined;

    constructor({ capacity = 0 }: AdmissionOptions) {
        this.capacity = capacity;
        this.drainCapacity = Math.max(1, capacity);
    }

    configure(shares: readonly TeamShare[], now: number): void {
        const names = new Set(shares.map(({ team }) => team));
        this.giveUp(
            this.queue.removeOthers(names),
            () => refused("rate_limited", UNKNOWN_TEAM_RETRY_AFTER_MILLISECONDS),
        );
        [...this.teams.keys()].filter(name => !names.has(name)).forEach(name => this.teams.delete(name));
        shares.forEach(share => {
            const team = this.teams.get(share.team);
            team?.limits.configure(share, now);
            const limits = team?.limits ?? createTeamLimits(share, now);
            this.teams.set(share.team, { share, limits, returns: team?.returns ?? createRetryAfterSchedule() });
        });
        this.queue.configure(new Map(shares.map(({ team, weight }) => [team, weight])));
    }

    setCapacity(capacity: number): void {
        this.capacity = capacity;
        this.drainCapacity = capacity > 0 ? capacity : this.drainCapacity;
    }

    offer(request: AdmissionRequest, now: number): AdmissionDecision {
        if (this.known.has(request.id)) {
            throw new Error(`request ${request.id} was offered already`);
        }
        this.demandSince ??= now;
        this.offered.set(request.team, (this.offered.get(request.team) ?? 0) + 1);
        const team = this.teams.get(request.team);
        if (team === undefined) {
            return refused("rate_limited", UNKNOWN_TEAM_RETRY_AFTER_MILLISECONDS);
        }
        const refusal = this.refusalOf(request, team, now);
        if (refusal !== undefined) {
            return refusal;
        }
        const idle = this.queue.waiting(request.team).length === 0 && !this.queue.hasReady(this.mayStart(now));
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
        this.meter.ended(now - running.startedAt);
        this.running.delete(id);
        this.known.delete(id);
    }

    cancel(id: string): void {
        if (this.queue.remove(id) !== undefined) {
            this.known.delete(id);
        }
        this.refusals = this.refusals.filter(refusal => refusal.id !== id);
    }

    poll(now: number): ReturnType<Admission["poll"]> {
        this.giveUp(
            this.queue.removeExpired(now),
            ({ request }) => refused("deadline_exceeded", this.retryAfter(request.team, now)),
        );
        const refusals = this.refusals;
        this.refusals = [];
        return { admitted: this.drain(now), refused: refusals };
    }

    demand(now: number): ReadonlyMap<string, number> {
        const elapsed = now - (this.demandSince ?? now);
        const rates = [...this.offered].map(([team, count]) =>
            [team, elapsed > 0 ? count * 1_000 / elapsed : 0] as const
        );
        this.offered.clear();
        this.demandSince = now;
        return new Map(rates);
    }

    private readonly mayStart = (now: number) => ({ team, tokens }: AdmissionRequest): boolean =>
        this.teams.get(team)?.limits.allows(tokens, now) ?? false;

    private drain(now: number): readonly string[] {
        const admitted: string[] = [];
        while (this.running.size < this.capacity) {
            const next = this.queue.next(this.mayStart(now));
            if (next === undefined) {
                break;
            }
            this.start(next.request, now);
            admitted.push(next.request.id);
        }
        return admitted;
    }

    private start(request: AdmissionRequest, now: number): void {
        const limits = (this.teams.get(request.team) as Team).limits;
        limits.start(request.tokens, now);
        this.running.set(request.id, { request, limits, startedAt: now });
        this.known.add(request.id);
    }

    /** Reason to refuse before the queue is considered. */
    private refusalOf(request: AdmissionRequest, team: Team, now: number): AdmissionDecision | undefined {
        if (request.deadlineAt <= now) {
            return refused("deadline_exceeded", this.retryAfter(request.team, now));
        }
        const waiting = this.queue.waiting(request.team);
        const queuedTokens = waiting.reduce((sum, { request: queued }) => sum + queued.tokens, 0);
        const rateWait = team.limits.waitBehind(waiting.length, queuedTokens, request.tokens, now);
        if (rateWait <= Math.min(RATE_WAIT_MILLISECONDS, request.deadlineAt - now)) {
            return undefined;
        }
        const perSecond = team.share.requestsPerSecond ?? this.drainOf(request.team);
        return refused("rate_limited", team.returns.reserve(rateWait, perSecond, now));
    }

    private enqueue(request: AdmissionRequest, team: Team, now: number): AdmissionDecision {
        const waiting = this.queue.waiting(request.team).length;
        if (waiting >= team.share.queueLength) {
            const displaced = this.queue.displace(request.team, request.priority);
            if (displaced === undefined) {
                return refused("queue_full", this.retryAfter(request.team, now));
            }
            this.giveUp([displaced], () => refused("queue_full", this.retryAfter(request.team, now)));
        }
        const position = this.queue.add(request, now);
        if (this.capacity > 0 && now + (position + 1) * 1_000 / this.drainOf(request.team) > request.deadlineAt) {
            this.queue.remove(request.id);
            return refused("queue_full", this.retryAfter(request.team, now));
        }
        this.known.add(request.id);
        return { kind: "queued", position };
    }

    /** Books a return for a team after its queue has drained at the measured rate. */
    private retryAfter(name: string, now: number): number {
        const perSecond = this.drainOf(name);
        const earliest = computeRetryAfter({ ahead: this.queue.waiting(name).length, drainPerSecond: perSecond });
        const least = this.capacity > 0 ? earliest : Math.max(earliest, NO_CAPACITY_RETRY_AFTER_MILLISECONDS);
        return this.teams.get(name)?.returns.reserve(least, perSecond, now) ?? boundRetryAfter(least);
    }

    /** Requests a second of a team that leave the queue while the present teams compete. */
    private drainOf(name: string): number {
        const perPlace = this.meter.perSecond(1) ?? 1_000 / ASSUMED_SERVICE_MILLISECONDS;
        const { concurrency, requestsPerSecond } = this.teams.get(name)?.share ?? {};
        return Math.min(
            this.drainCapacity * perPlace * this.queue.shareOf(name),
            (concurrency ?? Number.POSITIVE_INFINITY) * perPlace,
            requestsPerSecond ?? Number.POSITIVE_INFINITY,
        );
    }

    private giveUp(given: readonly Waiting[], decide: (waiting: Waiting) => AdmissionDecision): void {
        given.forEach(waiting => {
            this.known.delete(waiting.request.id);
            this.refusals.push({ id: waiting.request.id, decision: decide(waiting) });
        });
    }
}
