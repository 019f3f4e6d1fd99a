/** Weighted fair queue between teams with priorities within a team (start-time fair queueing). */
import type { AdmissionRequest } from "./types.js";

/** A team of weight 0 comes last but is not starved. */
const MINIMUM_WEIGHT = 0.01;
/** A request overtakes those that came up to this much earlier, for each level of priority above theirs. */
export const PRIORITY_STEP_MILLISECONDS = 2_000;

/** A waiting request. */
export interface Waiting {
    readonly request: AdmissionRequest;
    readonly queuedAt: number;
}

interface TeamQueue {
    readonly team: string;
    weight: number;
    /** Virtual time at which the team's next request starts. */
    start: number;
    readonly waiting: Waiting[];
}

type MayStart = (request: AdmissionRequest) => boolean;

/** Queue of one daemon. */
export class FairQueue {
    private readonly teams = new Map<string, TeamQueue>();
    private virtualTime = 0;

    /** Sets the weights; teams that are absent and have nothing waiting are forgotten. */
    configure(weights: ReadonlyMap<string, number>): void {
        weights.forEach((weight, team) => {
            this.queueOf(team).weight = Math.max(MINIMUM_WEIGHT, weight);
        });
        [...this.teams.values()]
            .filter(({ team, waiting }) => !weights.has(team) && waiting.length === 0)
            .forEach(({ team }) => this.teams.delete(team));
    }

    /** Adds a request; answers how many of its team are ahead. */
    add(request: AdmissionRequest, now: number): number {
        const queue = this.queueOf(request.team);
        const added = { request, queuedAt: now };
        if (queue.waiting.length === 0) {
            queue.start = Math.max(queue.start, this.virtualTime);
        }
        const found = queue.waiting.findIndex(waiting => orderOf(waiting) > orderOf(added));
        const index = found < 0 ? queue.waiting.length : found;
        queue.waiting.splice(index, 0, added);
        return index;
    }

    /** Removes a request that waits. */
    remove(id: string): Waiting | undefined {
        const queue = [...this.teams.values()].find(({ waiting }) => waiting.some(({ request }) => request.id === id));
        const index = queue?.waiting.findIndex(({ request }) => request.id === id) ?? -1;
        return queue?.waiting.splice(index, 1)[0];
    }

    /** Removes and returns all requests of teams that are not among `kept`. */
    removeOthers(kept: ReadonlySet<string>): readonly Waiting[] {
        return [...this.teams.values()].filter(({ team }) => !kept.has(team)).flatMap(({ waiting }) =>
            waiting.splice(0)
        );
    }

    /** Removes and returns the requests whose deadline has passed. */
    removeExpired(now: number): readonly Waiting[] {
        return [...this.teams.values()]
            .flatMap(({ waiting }) => waiting.filter(({ request }) => request.deadlineAt <= now))
            .map(({ request }) => this.remove(request.id))
            .filter(waiting => waiting !== undefined);
    }

    /** Removes the request that would leave last, if it is of lower priority than `priority`. */
    displace(team: string, priority: number): Waiting | undefined {
        const { waiting } = this.queueOf(team);
        const last = waiting.at(-1);
        return last !== undefined && last.request.priority < priority ? waiting.pop() : undefined;
    }

    /** Whether the next request of any team could start. */
    hasReady(mayStart: MayStart): boolean {
        return [...this.teams.values()].some(({ waiting: [head] }) => head !== undefined && mayStart(head.request));
    }

    /** Removes the next request of a team that `mayStart` accepts. */
    next(mayStart: MayStart): Waiting | undefined {
        const backlogged = [...this.teams.values()].filter(({ waiting }) => waiting.length > 0);
        const ready = backlogged.filter(({ waiting: [head] }) => head !== undefined && mayStart(head.request));
        const first = ready.reduce<TeamQueue | undefined>(
            (best, queue) => best === undefined || queue.start < best.start ? queue : best,
            undefined,
        );
        const taken = first?.waiting.shift();
        if (taken === undefined) {
            return undefined;
        }
        this.charge(taken.request.team, taken.request.tokens);
        // A team held back by its own limits must not catch up later at the expense of the others.
        backlogged.filter(queue => !ready.includes(queue)).forEach(queue => {
            queue.start = Math.max(queue.start, this.virtualTime);
        });
        return taken;
    }

    /** Charges a request of a team that starts now. */
    charge(team: string, cost: number): void {
        const queue = this.queueOf(team);
        this.virtualTime = Math.max(this.virtualTime, queue.start);
        queue.start = this.virtualTime + Math.max(1, cost) / queue.weight;
    }

    /** Corrects the charge of a request that has ended by what it used beyond its estimate. */
    settle(team: string, difference: number): void {
        const queue = this.teams.get(team);
        if (queue !== undefined) {
            queue.start += difference / queue.weight;
        }
    }

    /** Requests of a team that wait, in the order in which they leave. */
    waiting(team: string): readonly Waiting[] {
        return this.teams.get(team)?.waiting ?? [];
    }

    /** Share of the drain rate that a team gets while the teams that wait now keep waiting. */
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

/** Key of the order within a team: fixed at arrival, so the wait of a low priority is bounded. */
function orderOf({ request, queuedAt }: Waiting): number {
    return queuedAt - request.priority * PRIORITY_STEP_MILLISECONDS;
}
