/** Places a request at a group, or refuses it with a time to retry. */
import type { EngineProfile, ModelProfile } from "../routes/types.js";

/** A group that may be chosen for the request. */
export interface PlacementCandidate {
    /** Id of the group's head. */
    readonly head: string;
    readonly dataCentre: string;
    /** Requests in progress at the group, from all daemons as far as they are known. */
    readonly inProgress: number;
    /** Prompt tokens that wait for prefill at the group. */
    readonly pendingPromptTokens: number;
    /** Whether the group is suspected of making no progress. */
    readonly suspected: boolean;
    /** Time until the head takes a request of this daemon, by the rate and the rest that it states, in milliseconds. */
    readonly waitMilliseconds: number;
    /** How many times as long as expected its streams take, as daemons observed lately; 1 if nothing says so. */
    readonly slowness: number;
    /** Whether this daemon has an idle connection to the head. */
    readonly isConnected: boolean;
}

/** Input of the placement of one request. */
export interface PlacementInput {
    readonly engine: EngineProfile;
    readonly model: ModelProfile;
    readonly candidates: readonly PlacementCandidate[];
    /** Data centre of this daemon. */
    readonly dataCentre: string;
    readonly promptTokens: number;
    /** Time left until the deadline of the request, in milliseconds. */
    readonly remainingMilliseconds: number;
    /** Whether fewer groups serve the model than a short time ago, so that lost groups may soon be formed again. */
    readonly recovering: boolean;
    /** Returns a random number from 0 to below 1. */
    readonly random: () => number;
}

/** The chosen head with what is expected of it. */
export interface PlacedRequest {
    readonly kind: "placed";
    readonly head: string;
    readonly firstEventMilliseconds: number;
    /** Time of a pass, which sends an event to each stream, if the group is not slow. */
    readonly passMilliseconds: number;
}

/** The chosen head, or the reason for a refusal with the time to retry. */
export type Placement =
    | PlacedRequest
    | {
        readonly kind: "refused";
        readonly reason: "no-group" | "full" | "limited" | "too-late";
        readonly retryAfterMilliseconds: number;
    };

/** Weight of a group in another data centre relative to one in this data centre. */
const REMOTE_DATA_CENTRE_WEIGHT = 0.55;
/**
 * Weight of a group to whose head a connection is idle, relative to one that needs a new connection. Each daemon of a large
 * fleet thereby uses some of the groups, others than the next daemon, and opens fewer connections.
 */
const CONNECTED_WEIGHT = 6;
/** Exponent of the slowness in the weight: a slow group is full with its slow streams, and each more of them is late. */
const SLOWNESS_EXPONENT = 3;
/** Least number of free slots that a group counts with, so that every group that is not full can be chosen. */
const MINIMUM_FREE_SLOTS = 0.5;
/** Time to retry while lost groups are formed again, and the jitter added to it. */
const RECOVERY_RETRY_MILLISECONDS = 1_500;
const RECOVERY_RETRY_JITTER_MILLISECONDS = 1_000;
/** Longest wait for a target that is stated to callers, because others may take its place before. */
const MAXIMUM_LIMITED_RETRY_MILLISECONDS = 10_000;

/**
 * Places a request at a group that can start it before the deadline. Groups are chosen at random in proportion to their
 * free slots: reports of other daemons' requests lag, and if all daemons chose the group that looks least loaded, they
 * would overload it until the next reports. A slow group gets few requests, which show when it recovers, and as many as
 * before while no other one has a free slot.
 */
export function placeRequest(input: PlacementInput): Placement {
    const { candidates, engine } = input;
    const healthy = candidates.filter(candidate => !candidate.suspected);
    if (healthy.length === 0) {
        return { kind: "refused", reason: "no-group", retryAfterMilliseconds: recoveryRetryMilliseconds(input) };
    }
    const withFreeSlots = healthy.filter(candidate => candidate.inProgress < engine.slots);
    if (withFreeSlots.length === 0) {
        return { kind: "refused", reason: "full", retryAfterMilliseconds: retryDelayMilliseconds(input, healthy) };
    }
    const available = withFreeSlots.filter(({ waitMilliseconds }) => waitMilliseconds === 0);
    if (available.length === 0) {
        return { kind: "refused", reason: "limited", retryAfterMilliseconds: limitRetryMilliseconds(input, healthy) };
    }
    const inTime = available.filter(candidate => estimateFirstEvent(input, candidate) <= input.remainingMilliseconds);
    if (inTime.length === 0) {
        return { kind: "refused", reason: "too-late", retryAfterMilliseconds: retryDelayMilliseconds(input, healthy) };
    }
    const chosen = drawByWeight(
        inTime.map(candidate => ({ candidate, weight: weightOf(candidate, input) })),
        input.random,
    );
    return {
        kind: "placed",
        head: chosen.head,
        firstEventMilliseconds: estimateFirstEvent(input, chosen),
        passMilliseconds: passMillisecondsOf(chosen, input),
    };
}

function weightOf(candidate: PlacementCandidate, { engine, dataCentre }: PlacementInput): number {
    const prefillSteps = candidate.pendingPromptTokens / engine.prefillTokensPerSecond * 1_000
        / engine.baseStepMilliseconds;
    const freeSlots = Math.max(MINIMUM_FREE_SLOTS, engine.slots - candidate.inProgress - prefillSteps);
    const dataCentreWeight = candidate.dataCentre === dataCentre ? 1 : REMOTE_DATA_CENTRE_WEIGHT;
    const connectionWeight = candidate.isConnected ? CONNECTED_WEIGHT : 1;
    return freeSlots * dataCentreWeight * connectionWeight / candidate.slowness ** SLOWNESS_EXPONENT;
}

interface Weighted {
    readonly candidate: PlacementCandidate;
    readonly weight: number;
}

/** Draws one candidate with a chance proportional to its weight. Expects at least one candidate. */
function drawByWeight(candidates: readonly Weighted[], random: () => number): PlacementCandidate {
    const waits = candidates.map(({ candidate, weight }) => ({ candidate, wait: -Math.log(1 - random()) / weight }));
    return waits.reduce((left, right) => right.wait < left.wait ? right : left).candidate;
}

/** Returns the duration of one decode step of a group with this number of requests, in milliseconds. */
export function decodeStepMilliseconds(engine: EngineProfile, model: ModelProfile, requests: number): number {
    const context = (engine.meanPromptTokens + engine.meanOutputTokens / 2) / 1_000;
    const perRequest = engine.stepMillisecondsPerSequence + engine.stepMillisecondsPerThousandContextTokens * context;
    return model.pace * (engine.baseStepMilliseconds + perRequest * requests);
}

/** Returns the time to prefill a prompt, in milliseconds. */
export function prefillMilliseconds(engine: EngineProfile, model: ModelProfile, tokens: number): number {
    const attentionMilliseconds = tokens * tokens / 2 / 1_000_000 * engine.prefillMillisecondsPerMillionPairs;
    return model.pace * (tokens / engine.prefillTokensPerSecond * 1_000 + attentionMilliseconds);
}

/** Returns the time of a pass with one more request, if the group is not slow. */
function passMillisecondsOf(
    { inProgress }: Pick<PlacementCandidate, "inProgress">,
    { engine, model }: Pick<PlacementInput, "engine" | "model">,
): number {
    return decodeStepMilliseconds(engine, model, inProgress + 1) * engine.stepsPerPass;
}

/** Returns the expected time to the first event of a request at a group, in milliseconds. */
export function estimateFirstEvent(
    input: Pick<PlacementInput, "engine" | "model" | "promptTokens">,
    candidate: Pick<PlacementCandidate, "inProgress" | "pendingPromptTokens" | "slowness">,
): number {
    const { engine, model, promptTokens } = input;
    const prefill = prefillMilliseconds(engine, model, candidate.pendingPromptTokens + promptTokens);
    return candidate.slowness * (prefill + 2 * passMillisecondsOf(candidate, input));
}

/**
 * Returns the time after which a refused caller should retry. While no group is missing, a slot becomes free soon, and
 * the response may still be in time. While groups are missing, a free slot is more likely once they are formed again.
 */
function retryDelayMilliseconds(input: PlacementInput, candidates: readonly PlacementCandidate[]): number {
    return input.recovering ? recoveryRetryMilliseconds(input) : slotWaitMilliseconds(input, candidates);
}

/** Returns the time until the first group that takes none now allows a request, or a full one has a free slot. */
function limitRetryMilliseconds(input: PlacementInput, candidates: readonly PlacementCandidate[]): number {
    const limited = candidates.filter(({ inProgress }) => inProgress < input.engine.slots);
    const full = candidates.filter(({ inProgress }) => inProgress >= input.engine.slots);
    const turn = limitedRetryMilliseconds(limited.map(candidate => candidate.waitMilliseconds), input.random);
    return full.length === 0 ? turn : Math.min(turn, retryDelayMilliseconds(input, full));
}

/**
 * Returns the time after which a caller should retry that was refused because all targets limit their rate or rest. It is
 * up to twice the shortest wait, so that callers refused together do not return together.
 */
export function limitedRetryMilliseconds(waits: readonly number[], random: () => number): number {
    return Math.ceil(Math.min(MAXIMUM_LIMITED_RETRY_MILLISECONDS, ...waits) * (1 + random()));
}

function recoveryRetryMilliseconds({ random }: PlacementInput): number {
    return Math.round(RECOVERY_RETRY_MILLISECONDS + random() * RECOVERY_RETRY_JITTER_MILLISECONDS);
}

/**
 * Estimates the wait for a free slot: the mean duration of a response in a full group over the number of groups. In this
 * time as many slots become free as one group has, so that the callers that were refused together find one each.
 */
function slotWaitMilliseconds({ engine, model }: PlacementInput, candidates: readonly PlacementCandidate[]): number {
    const duration = decodeStepMilliseconds(engine, model, engine.slots) * engine.meanOutputTokens;
    return Math.ceil(duration / Math.max(1, candidates.length));
}
