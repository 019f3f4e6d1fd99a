/** Admission of the requests for one model by one daemon, from what it knows of the model's groups. */
import { computeChances, sizedChance } from "./chances.js";
import { decideAdmission, type SheddingDecision } from "./decide.js";
import { createModelLoad, type LoadForecast, type ModelCapacity } from "./modelload.js";
import { clampPriority } from "./priorities.js";
import { createReturnTimes } from "./returntimes.js";

/** A request for which a decision is asked. Times are in milliseconds from now. */
export interface SheddingRequest {
    readonly priority: number;
    /** Random number from 0 to below 1, drawn once for each request. */
    readonly draw: number;
    readonly objectiveLeftMilliseconds: number;
    readonly deadlineLeftMilliseconds: number;
    readonly waitLeftMilliseconds: number;
}

/** What is known of the groups of the model now, for one request. */
export interface GroupsSeen extends ModelCapacity {
    /** Least expected time to the first event among the groups with a free slot; `undefined` if none has one. */
    readonly firstEventMilliseconds?: number;
    /** Expected time to the first event at an idle group. */
    readonly leastFirstEventMilliseconds: number;
    /** Work of the request relative to one of mean length. */
    readonly workRatio: number;
}

/** Admission for one model. Times are monotonic milliseconds. */
export interface ModelAdmission {
    /** Records a first attempt; it precedes the decisions on it. */
    recordArrival(priority: number, now: number): void;
    /** Decides on a request; one that waits is decided on again. */
    decide(request: SheddingRequest, groups: GroupsSeen, now: number): SheddingDecision;
    /** Records that a request ended its admission, admitted or refused. */
    recordOutcome(admitted: boolean, now: number): void;
    /** Reserves the time after which the caller of a refused request should return, in milliseconds. */
    reserveReturn(groups: ModelCapacity, now: number): number;
}

/** Creates the admission for a model without requests; `daemons` returns the number of daemons, this one included. */
export function createModelAdmission(daemons: () => number, random: () => number): ModelAdmission {
    const load = createModelLoad();
    const returns = createReturnTimes();
    return {
        recordArrival: (priority, now) => load.recordArrival(priority, now),
        decide: (request, groups, now) => {
            const forecast = load.forecast(groups, now);
            const priority = clampPriority(request.priority);
            const chance = sizedChance(computeChances(forecast)[priority] ?? 1, groups.workRatio);
            const decision = decideAdmission({
                ...request,
                chance,
                firstEventMilliseconds: groups.firstEventMilliseconds,
                leastFirstEventMilliseconds: groups.leastFirstEventMilliseconds,
                capacityMilliseconds: request.draw < chance
                    ? slotMilliseconds(forecast, daemons())
                    : growthMilliseconds((request.draw - chance) * (forecast.demand[priority] ?? 0), forecast),
            });
            returns.observe(forecast.arrivingPerSecond, decision.kind === "refuse", now);
            return decision;
        },
        recordOutcome: (admitted, now) => load.recordDecision(admitted, now),
        reserveReturn: ({ slots, slotMilliseconds }, now) =>
            returns.reserve({ slots, slotMilliseconds, daemons: daemons(), random }, now),
    };
}

/** Returns the time until a slot becomes free for this daemon, which shares them with the others. */
function slotMilliseconds({ freedPerSecond }: LoadForecast, daemons: number): number {
    return freedPerSecond > 0 ? Math.max(1, daemons) / freedPerSecond * 1_000 : Number.POSITIVE_INFINITY;
}

/** Returns the time until this many more slots are free; infinite while requests arrive faster than slots become free. */
function growthMilliseconds(missing: number, { freedPerSecond, arrivingPerSecond }: LoadForecast): number {
    const gained = freedPerSecond - arrivingPerSecond;
    return gained > 0 ? missing / gained * 1_000 : Number.POSITIVE_INFINITY;
}
