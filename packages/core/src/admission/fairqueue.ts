/** Weighted fair queue between teams with priorities within a team (start-time fair queueing). */
import type { AdmissionRequest } from "./types.js";

/** Weight used for a team of weight 0: it is served last but not starved. */
const MINIMUM_WEIGHT = 0.01;
/** For each level of higher priority, a request overtakes requests that arrived up to this much earlier. */
export const PRIORITY_STEP_MILLISECONDS = 2_000;

/** A request in the queue. */
export interface QueuedRequest {
    readonly request: AdmissionRequest;
    readonly queuedAt: number;
}

interface TeamQueue {
    readonly team: string;
    weight: number;
    /** Virtual start time of the team's next request. */
    start: number;
    readonly waiting: QueuedRequest[];
}

type StartCheck = (request: AdmissionRequest) => boolean;

/** Fair queue of one daemon. */
export class FairQueue {
    private readonly teams = new Map<string, TeamQueue>();
    private virtualTime = 0;

    /** Sets the weights. Teams that are absent and have no queued requests are removed. */
    configure(weights: ReadonlyMap<string, number>): void {
        weights.forEach((weight, team) => {
            this.queueOf(team).weight = Math.max(MINIMUM_WEIGHT, weight);
        });
        [...this.teams.values()]
            .filter(({ team, waiting }) => !weights.has(team) && waiting.length === 0)
            .forEach(({ team }) => this.teams.delete(team));
    }

    /** Adds a request and returns the number of requests of its team ahead of it. */
    add(request: AdmissionRequest, now: number): number {
        const queue = this.queueOf(request.team);
        const added = { request, queuedAt: now };
        if (queue.waiting.length === 0) {
            queue.start = Math.max(queue.start, this.virtualTime);
        }
        const insertBefore = queue.waiting.findIndex(waiting => sortKey(waiting) > sortKey(added));
        const index = insertBefore < 0 ? queue.waiting.length : insertBefore;
        queue.waiting.splice(index, 0, added);
        return index;
    }

    /** Removes a queued request. */
    remove(id: string): QueuedRequest | undefined {
        const queue = [...this.teams.values()].find(({ waiting }) => waiting.some(({ request }) => request.id === id));
        const index = queue?.waiting.findIndex(({ request }) => request.id === id) ?? -1;
        return queue?.waiting.splice(index, 1)[0];
    }

    /** Removes and returns all requests of teams that are not in `keptTeams`. */
    removeExcept(keptTeams: ReadonlySet<string>): readonly QueuedRequest[] {
        return [...this.teams.values()].filter(({ team }) => !keptTeams.has(team)).flatMap(({ waiting }) =>
            waiting.splice(0)
        );
    }

    /** Removes and returns the requests whose deadline has passed. */
    removeExpired(now: number): readonly QueuedRequest[] {
        return [...this.teams.values()]
            .flatMap(({ waiting }) => waiting.filter(({ request }) => request.deadlineAt <= now))
            .map(({ request }) => this.remove(request.id))
            .filter(waiting => waiting !== undefined);
    }

    /** Removes the last request of the team's queue if its priority is lower than `priority`. */
    evictLowerPriority(team: string, priority: number): QueuedRequest | undefined {
        const { waiting } = this.queueOf(team);
        const last = waiting.at(-1);
        return last !== undefined && last.request.priority < priority ? waiting.pop() : undefined;
    }

    /** Whether `canStart` accepts the next request of any team. */
    hasStartable(canStart: StartCheck): boolean {
        return [...this.teams.values()].some(({ waiting: [head] }) => head !== undefined && canStart(head.request));
    }

    /** Removes the next request of the team that is first in virtual time, among those that `canStart` accepts. */
    next(canStart: StartCheck): QueuedRequest | undefined {
        const backlogged = [...this.teams.values()].filter(({ waiting }) => waiting.length > 0);
        const ready = backlogged.filter(({ waiting: [head] }) => head !== undefined && canStart(head.request));
        const first = ready.reduce<TeamQueue | undefined>(
            (best, queue) => best === undefined || queue.start < best.start ? queue : best,
            undefined,
        );
        const dispatched = first?.waiting.shift();
        if (dispatched === undefined) {
            return undefined;
        }
        this.charge(dispatched.request.team, dispatched.request.tokens);
        // A team blocked by its own limits must not catch up later at the expense of other teams.
        backlogged.filter(queue => !ready.includes(queue)).forEach(queue => {
            queue.start = Math.max(queue.start, this.virtualTime);
        });
        return dispatched;
    }

    /** Charges a team for a request that starts now. */
    charge(team: string, cost: number): void {
        const queue = this.queueOf(team);
        this.virtualTime = Math.max(this.virtualTime, queue.start);
        queue.start = this.virtualTime + Math.max(1, cost) / queue.weight;
    }

    /** Corrects the charge of a finished request by the difference between its actual and its estimated cost. */
    settle(team: string, difference: number): void {
        const queue = this.teams.get(team);
        if (queue !== undefined) {
            queue.start += difference / queue.weight;
        }
    }

    /** Queued requests of a team, in dispatch order. */
    waiting(team: string): readonly QueuedRequest[] {
        return this.teams.get(team)?.waiting ?? [];
    }

    /** Fraction of the drain rate that a team gets while all teams with queued requests stay backlogged. */
    shareOf(team: string): number {
        const competing = [...this.teams.values()].filter(queue => queue.team === team || queue.waiting.length > 0);
        const total = competing.reduce((sum, { weight }) => sum + weight, 0);
        return total === 0 ? 1 : (this.teams.get(team)?.weight ?? 0) / total;
    }

    private queueOf(team: string): TeamQueue {
        const queue = this.teams.get(team) ?? { team, weight: 1, start: this.virtualTime, waiting: [] };
        this.teams.set(team, queue);
        return queue;
    }
}

/** Sort key within a team. It is fixed at arrival, so the wait of a low-priority request is bounded. */
function sortKey({ request, queuedAt }: QueuedRequest): number {
    return queuedAt - request.priority * PRIORITY_STEP_MILLISECONDS;
}
