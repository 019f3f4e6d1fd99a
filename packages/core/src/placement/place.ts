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
    readonly pendingPromptTokens: number;
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
    /** Time left until the request is given up, in milliseconds. */
    readonly remainingMilliseconds: number;
    /** Whether fewer groups serve the model than a short time ago, so that more may soon serve it again. */
    readonly recovering: boolean;
    /** Random numbers from 0 to below 1. */
    readonly random: () => number;
}

/** Result: the chosen head with the time until its first event, or why there is none. */
export type Placement =
    | { readonly kind: "placed"; readonly head: string; readonly firstEventMilliseconds: number; }
    | {
        readonly kind: "refused";
        readonly reason: "no-group" | "full" | "too-late";
        readonly retryAfterMilliseconds: number;
    };

/** Weight of a group in another data centre beside one in this data centre. */
const REMOTE_WEIGHT = 0.55;
/** Free places for which a group counts that has less than one, so that it can still be chosen. */
const MINIMUM_PLACES = 0.5;
/** How soon a caller may come back while groups that were lost are formed again, and the spread of that. */
const RECOVERY_RETRY_MILLISECONDS = 1_500;
const RECOVERY_SPREAD_MILLISECONDS = 1_000;
/**
 * Places a request at a group that can begin it in time. Groups are chosen at random in proportion to their free places:
 * what a daemon knows of the others' requests is old, and if all daemons chose the group that looks best, they would flood
 * it until they hear of each other again.
 */
export function placeRequest(input: PlacementInput): Placement {
    const { candidates, engine } = input;
    const sound = candidates.filter(candidate => !candidate.suspected);
    if (sound.length === 0) {
        return { kind: "refused", reason: "no-group", retryAfterMilliseconds: recoveryMilliseconds(input) };
    }
    const open = sound.filter(candidate => candidate.inProgress < engine.slots);
    if (open.length === 0) {
        return { kind: "refused", reason: "full", retryAfterMilliseconds: returnMilliseconds(input, sound) };
    }
    const chosen = drawByWeight(
        open.map(candidate => ({ candidate, weight: weightOf(candidate, input) })),
        input.random,
    );
    const firstEventMilliseconds = estimateFirstEvent(input, chosen);
    return firstEventMilliseconds > input.remainingMilliseconds
        ? { kind: "refused", reason: "too-late", retryAfterMilliseconds: returnMilliseconds(input, sound) }
        : { kind: "placed", head: chosen.head, firstEventMilliseconds };
}

function weightOf(candidate: PlacementCandidate, { engine, dataCentre }: PlacementInput): number {
    const reading = candidate.pendingPromptTokens / engine.prefillTokensPerSecond * 1_000 / engine.baseStepMilliseconds;
    const places = Math.max(MINIMUM_PLACES, engine.slots - candidate.inProgress - reading);
    return places * (candidate.dataCentre === dataCentre ? 1 : REMOTE_WEIGHT);
}

interface Weighted {
    readonly candidate: PlacementCandidate;
    readonly weight: number;
}

/** Draws one of the candidates, of which there is at least one. */
function drawByWeight(candidates: readonly Weighted[], random: () => number): PlacementCandidate {
    const waits = candidates.map(({ candidate, weight }) => ({ candidate, wait: -Math.log(1 - random()) / weight }));
    return waits.reduce((left, right) => right.wait < left.wait ? right : left).candidate;
}

/** Time of one token step of a group with so many requests, in milliseconds. */
export function decodeStepMilliseconds(engine: EngineProfile, model: ModelProfile, requests: number): number {
    const context = (engine.meanPromptTokens + engine.meanOutputTokens / 2) / 1_000;
    const perRequest = engine.stepMillisecondsPerSequence + engine.stepMillisecondsPerThousandContextTokens * context;
    return model.pace * (engine.baseStepMilliseconds + perRequest * requests);
}

/** Time to read a prompt, in milliseconds. */
export function prefillMilliseconds(engine: EngineProfile, model: ModelProfile, tokens: number): number {
    const pairs = tokens * tokens / 2 / 1_000_000 * engine.prefillMillisecondsPerMillionPairs;
    return model.pace * (tokens / engine.prefillTokensPerSecond * 1_000 + pairs);
}

function estimateFirstEvent(input: PlacementInput, candidate: PlacementCandidate): number {
    const { engine, model } = input;
    const pass = decodeStepMilliseconds(engine, model, candidate.inProgress + 1) * engine.stepsPerPass;
    return prefillMilliseconds(engine, model, candidate.pendingPromptTokens + input.promptTokens) + 2 * pass;
}

/**
 * Time after which a refused caller should come back. While all groups are there and full, the next free place is soon,
 * and an answer may still be on time. While groups are missing, a place is more likely when they are back.
 */
function returnMilliseconds(input: PlacementInput, candidates: readonly PlacementCandidate[]): number {
    return input.recovering ? recoveryMilliseconds(input) : slotMilliseconds(input, candidates);
}

function recoveryMilliseconds({ random }: PlacementInput): number {
    return Math.round(RECOVERY_RETRY_MILLISECONDS + random() * RECOVERY_SPREAD_MILLISECONDS);
}

/** Time until a slot becomes free: the usual duration of an answer over the slots of all groups. */
function slotMilliseconds({ engine, model }: PlacementInput, candidates: readonly PlacementCandidate[]): number {
    const duration = decodeStepMilliseconds(engine, model, engine.slots) * engine.meanOutputTokens;
    return Math.ceil(duration / Math.max(1, candidates.length * engine.slots) * engine.slots);
}
