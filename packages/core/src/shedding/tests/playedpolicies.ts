/** Policies of admission that are compared on played loads. */
import { requestWorkMilliseconds } from "../../engines/demand.js";
import {
    decodeStepMilliseconds,
    type Placement,
    type PlacementCandidate,
    prefillMilliseconds,
} from "../../placement/place.js";
import { createModelAdmission, type GroupsSeen } from "../modeladmission.js";
import { createModelLoad } from "../modelload.js";
import { createReturnTimes } from "../returntimes.js";
import { engine, type EngineOrder, model } from "./playedengine.js";
import { DAEMONS, DEADLINE_MILLISECONDS, type PlayedAttempt } from "./playedfleet.js";

/** What a policy decides on. */
export interface PolicyInput {
    readonly attempt: PlayedAttempt;
    readonly candidates: readonly PlacementCandidate[];
    readonly now: number;
    readonly waitLeft: number;
}

/** A refusal; `placement` is that of the placement if that refused the request. */
export interface PlayedRefusal {
    readonly placement: Placement | undefined;
    readonly candidates: readonly PlacementCandidate[];
    readonly now: number;
}

/** Policy of one daemon. */
export interface PlayedPolicy {
    recordArrival(attempt: PlayedAttempt, now: number): void;
    decide(input: PolicyInput): { readonly kind: "serve" | "wait" | "refuse"; };
    recordOutcome(admitted: boolean, now: number): void;
    /** Time after which a refused caller returns. */
    returnMilliseconds(refusal: PlayedRefusal): number;
}

/** How the daemons of a fleet decide, and in which order its engines give slots. */
export interface PolicyFactory {
    readonly order: EngineOrder;
    readonly create: (random: () => number) => PlayedPolicy;
}

const meanTokens = { prompt: engine.meanPromptTokens, answer: engine.meanOutputTokens };
const slotMilliseconds = decodeStepMilliseconds(engine, model, engine.slots) * engine.meanOutputTokens;

function workRatioOf({ promptTokens, outputTokens }: PlayedAttempt): number {
    return requestWorkMilliseconds(engine, model, { prompt: promptTokens, answer: outputTokens })
        / requestWorkMilliseconds(engine, model, meanTokens);
}

function groupsSeen(candidates: readonly PlacementCandidate[], promptTokens: number): Omit<GroupsSeen, "workRatio"> {
    const firstEvent = (requests: number): number =>
        prefillMilliseconds(engine, model, promptTokens)
        + 2 * decodeStepMilliseconds(engine, model, requests + 1) * engine.stepsPerPass;
    const counts = candidates.map(({ inProgress }) => inProgress).filter(count => count < engine.slots);
    return {
        slots: candidates.length * engine.slots,
        inProgress: candidates.reduce((sum, { inProgress }) => sum + inProgress, 0),
        slotMilliseconds,
        firstEventMilliseconds: counts.length === 0 ? undefined : firstEvent(Math.min(...counts)),
        leastFirstEventMilliseconds: firstEvent(0),
    };
}

/** The behaviour without admission: each request is placed while a group has a free slot. */
export const currentPolicy: PolicyFactory = {
    order: "arrival",
    create: () => ({
        recordArrival: () => undefined,
        decide: () => ({ kind: "serve" }),
        recordOutcome: () => undefined,
        returnMilliseconds: ({ placement }) => placement?.kind === "refused" ? placement.retryAfterMilliseconds : 0,
    }),
};

/** Decides by a limit on the rank of the request, from the same forecast and with the same return times as the chosen policy. */
function createRankedPolicy(
    random: () => number,
    isAdmitted: (
        input: PolicyInput,
        chances: { readonly common: number; readonly capacity: number; readonly demand: readonly number[]; },
    ) => boolean,
): PlayedPolicy {
    const load = createModelLoad();
    const returns = createReturnTimes();
    return {
        recordArrival: ({ kind }, now) => load.recordArrival(kind.priority, now),
        decide: input => {
            const { capacity, demand, arrivingPerSecond } = load.forecast(
                groupsSeen(input.candidates, input.attempt.promptTokens),
                input.now,
            );
            const total = demand.reduce((sum, count) => sum + count, 0);
            const common = total <= 0 ? 1 : Math.min(1, Math.max(0, capacity) / total);
            const admitted = isAdmitted(input, { common, capacity, demand });
            returns.observe(arrivingPerSecond, !admitted, input.now);
            return { kind: admitted ? "serve" : "refuse" };
        },
        recordOutcome: (admitted, now) => load.recordDecision(admitted, now),
        returnMilliseconds: ({ candidates, now }) => {
            const { slots } = groupsSeen(candidates, 0);
            return returns.reserve(
                { slots, slotMilliseconds, daemons: DAEMONS, random },
                now,
            );
        },
    };
}

/** Strict priority: a request is admitted while the capacity exceeds the more urgent demand, without any kept share. */
export const strictPriorityPolicy: PolicyFactory = {
    order: "priority",
    create: random =>
        createRankedPolicy(random, ({ attempt }, { capacity, demand }) => {
            const { priority } = attempt.kind;
            const moreUrgent = demand.slice(0, priority).reduce((sum, count) => sum + count, 0);
            return attempt.draw < (capacity - moreUrgent) / Math.max(demand[priority] ?? 0, Number.EPSILON);
        }),
};

/** Number of recent requests from which the limit on the cost of delay is taken. */
const REMEMBERED_RANKS = 64;

/** Least cost of delay per unit of work: those with the highest value for their work are admitted, as many as fit. */
export const delayCostPolicy: PolicyFactory = {
    order: "priority",
    create: random => {
        const recent: { readonly rank: number; readonly work: number; }[] = [];
        return createRankedPolicy(random, ({ attempt }, { common }) => {
            const work = workRatioOf(attempt);
            const rank = 1 / work / attempt.kind.objectiveMilliseconds;
            recent.push({ rank, work });
            recent.splice(0, recent.length - REMEMBERED_RANKS);
            const total = recent.reduce((sum, entry) => sum + entry.work, 0);
            const better = recent.reduce((sum, entry) => sum + (entry.rank > rank ? entry.work : 0), 0);
            return common >= 1 || better + work * attempt.draw <= common * total;
        });
    },
};

/** The chosen policy; the draw of each request is kept while it waits. */
export const chosenPolicy: PolicyFactory = {
    order: "priority",
    create: random => {
        const admission = createModelAdmission(() => DAEMONS, random);
        return {
            recordArrival: ({ kind }, now) => admission.recordArrival(kind.priority, now),
            decide: ({ attempt, candidates, now, waitLeft }) => {
                const elapsed = now - attempt.arrivedAt;
                return admission.decide(
                    {
                        priority: attempt.kind.priority,
                        draw: attempt.draw,
                        objectiveLeftMilliseconds: attempt.kind.objectiveMilliseconds - elapsed,
                        deadlineLeftMilliseconds: DEADLINE_MILLISECONDS - elapsed,
                        waitLeftMilliseconds: waitLeft,
                    },
                    { ...groupsSeen(candidates, attempt.promptTokens), workRatio: workRatioOf(attempt) },
                    now,
                );
            },
            recordOutcome: (admitted, now) => admission.recordOutcome(admitted, now),
            returnMilliseconds: ({ candidates, now }) => admission.reserveReturn(groupsSeen(candidates, 0), now),
        };
    },
};
