/** Engine and requests of a large fleet of small groups, for tests that play its load. */
import type { EngineProfile, ModelProfile } from "../../routes/types.js";
import { type Placement, type PlacementCandidate, placeRequest } from "../place.js";

export const STEP_MILLISECONDS = 10;

const REMAINING_MILLISECONDS = 6_000;

/** Model of the groups. */
export const model: ModelProfile = {
    name: "m",
    size: 4,
    share: 1,
    pace: 0.6,
    loadMilliseconds: 12_000,
    warmMilliseconds: 1_100,
};
/** Engine with nine slots a group. */
export const engine: EngineProfile = {
    slots: 9,
    kvCacheTokens: 1_710_000,
    stepsPerPass: 10,
    models: [model],
    baseStepMilliseconds: 6.45,
    stepMillisecondsPerSequence: 0.0967,
    stepMillisecondsPerThousandContextTokens: 0.00293,
    prefillTokensPerSecond: 56_100,
    prefillMillisecondsPerMillionPairs: 0.309,
    prefillChunkTokens: 2_048,
    loadsPerSecond: 14,
    concurrentLoads: 20,
    openMilliseconds: 300,
    meanPromptTokens: 674,
    meanOutputTokens: 216,
};

/** What a simulated daemon knows of a group, beside the requests in progress. */
export type KnownGroup = Partial<Pick<PlacementCandidate, "dataCentre" | "slowness" | "isConnected">>;

/** Places a request on groups that are known by their index; `inProgress` has the requests of each. */
export function placeOnGroups(
    inProgress: readonly number[],
    describe: (group: number) => KnownGroup,
    dataCentre: string,
    random: () => number,
): Placement {
    return placeRequest({
        engine,
        model,
        candidates: inProgress.map((count, group) => ({
            head: String(group),
            dataCentre: "a",
            inProgress: count,
            pendingPromptTokens: 0,
            suspected: false,
            waitMilliseconds: 0,
            slowness: 1,
            isConnected: false,
            ...describe(group),
        })),
        dataCentre,
        promptTokens: engine.meanPromptTokens,
        remainingMilliseconds: REMAINING_MILLISECONDS,
        recovering: false,
        random,
    });
}

/** Returns how many requests arrive in the step that begins now. */
export function countArrivals(requestsPerSecond: number, now: number): number {
    const countUntil = (at: number): number => Math.floor(at * requestsPerSecond / 1_000);
    return countUntil(now + STEP_MILLISECONDS) - countUntil(now);
}
