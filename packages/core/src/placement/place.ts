/** Choice of the group for a request, or its refusal with a time to come back. */
import type { EngineProfile, ModelProfile } from "../routes/types.js";

/** A group that may get the request. */
export interface PlacementCandidate {
    /** Id of the head. */
    readonly head: string;
    readonly dataCentre: string;
    /** Requests in progress at the group, from all daemons as far as known. */
    readonly inProgress: number;
    /** Prompt tokens that wait to be read there. */
    readonly unreadTokens: number;
    /** Whether the group has not made progress lately. */
    readonly suspected: boolean;
}

/** What is asked about one request. */
export interface PlacementInput {
    readonly engine: EngineProfile;
    readonly model: ModelProfile;
    readonly candidates: readonly PlacementCandidate[];
    /** Data centre of this daemon. */
    readonly dataCentre: string;
    readonly promptTokens: number;
    /** Time left until the first event is expected, in milliseconds. */
    readonly objectiveMilliseconds: number;
    /** Time left until the request is given up, in milliseconds. */
    readonly remainingMilliseconds: number;
    /** Random number from 0 to below 1, to spread equal choices. */
    readonly draw: number;
}

/** Result: the chosen head with the time until its first event, or why there is none. */
export type Placement =
    | { readonly kind: "placed"; readonly head: string; readonly firstEventMilliseconds: number; }
    | {
        readonly kind: "refused";
        readonly reason: "no-group" | "full" | "too-late";
        readonly retryAfterMilliseconds: number;
    };

/** Extra cost of a group in another data centre, as a share of its slots. */
const REMOTE_COST = 0.12;
/** How soon a caller may come back when no group serves the model. */
const NO_GROUP_RETRY_MILLISECONDS = 1_500;
/** Spread of equal choices, as a share of a group's slots. */
const SPREAD = 0.03;

/** Places a request at the group where it costs least, if one can begin it in time. */
export function placeRequest(input: PlacementInput): Placement {
    const { candidates, engine } = input;
    const sound = candidates.filter(candidate => !candidate.suspected);
    if (sound.length === 0) {
        return { kind: "refused", reason: "no-group", retryAfterMilliseconds: NO_GROUP_RETRY_MILLISECONDS };
    }
    const open = sound.filter(candidate => candidate.inProgress < engine.slots);
    if (open.length === 0) {
        return { kind: "refused", reason: "full", retryAfterMilliseconds: slotMilliseconds(input, sound) };
    }
    const best = open.map(candidate => ({ candidate, cost: costOf(candidate, input) }))
        .reduce((left, right) => right.cost < left.cost ? right : left).candidate;
    const firstEventMilliseconds = estimateFirstEvent(input, best);
    return firstEventMilliseconds > input.remainingMilliseconds
        ? { kind: "refused", reason: "too-late", retryAfterMilliseconds: slotMilliseconds(input, sound) }
        : { kind: "placed", head: best.head, firstEventMilliseconds };
}

function costOf(candidate: PlacementCandidate, input: PlacementInput): number {
    const { engine, dataCentre } = input;
    const reading = candidate.unreadTokens / engine.readTokensPerSecond * 1_000 / engine.stepMilliseconds;
    const remote = candidate.dataCentre === dataCentre ? 0 : REMOTE_COST;
    const phase = candidate.head.charCodeAt(candidate.head.length - 1) / 128;
    const spread = (input.draw + phase) % 1 * SPREAD;
    return (candidate.inProgress + reading) / engine.slots + remote + spread;
}

/** Time of one token step of a group with so many requests, in milliseconds. */
export function stepMilliseconds(engine: EngineProfile, model: ModelProfile, requests: number): number {
    const context = (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / 1_000;
    const perRequest = engine.stepMillisecondsPerSequence + engine.stepMillisecondsPerThousandContextTokens * context;
    return model.pace * (engine.stepMilliseconds + perRequest * requests);
}

/** Time to read a prompt, in milliseconds. */
export function readMilliseconds(engine: EngineProfile, model: ModelProfile, tokens: number): number {
    const pairs = tokens * tokens / 2 / 1_000_000 * engine.readMillisecondsPerMillionPairs;
    return model.pace * (tokens / engine.readTokensPerSecond * 1_000 + pairs);
}

function estimateFirstEvent(input: PlacementInput, candidate: PlacementCandidate): number {
    const { engine, model } = input;
    const pass = stepMilliseconds(engine, model, candidate.inProgress + 1) * engine.stepsPerPass;
    return readMilliseconds(engine, model, candidate.unreadTokens + input.promptTokens) + 2 * pass;
}

/** Time until a slot becomes free: the usual duration of an answer over the slots of all groups. */
function slotMilliseconds({ engine, model }: PlacementInput, candidates: readonly PlacementCandidate[]): number {
    const duration = stepMilliseconds(engine, model, engine.slots) * engine.usualAnswerTokens;
    return Math.ceil(duration / Math.max(1, candidates.length * engine.slots) * engine.slots);
}
