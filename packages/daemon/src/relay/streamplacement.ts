/** Places streaming requests on groups, using the load that this daemon knows for each group serving the model. */
import {
    decodeStepMilliseconds,
    estimateFirstEvent,
    type GroupsSeen,
    type Placement,
    type PlacementCandidate,
    placeRequest,
    requestWorkMilliseconds,
    type ServingGroup,
} from "@damaskvale/core";
import type { RelayParts, RequestContext } from "./requestcontext.js";

/** `Retry-After` of a request that every group refused. */
const REFUSED_RETRY_AFTER_MILLISECONDS = 800;

/** Places a request on a group that has not been tried for it; `candidates` are those of this moment, if they are known. */
export function placeStream(
    context: RequestContext,
    parts: RelayParts,
    tried: readonly string[],
    candidates: readonly PlacementCandidate[] = candidatesOf(context, parts),
): Placement {
    const engine = context.lookup.findService(context.service)?.engine;
    const model = engine?.models.find(profile => profile.name === context.request.model);
    if (engine === undefined || model === undefined) {
        return { kind: "refused", reason: "no-group", retryAfterMilliseconds: REFUSED_RETRY_AFTER_MILLISECONDS };
    }
    const healthyCount = candidates.filter(({ suspected }) => !suspected).length;
    const now = parts.clock.monotonic();
    return placeRequest({
        engine,
        model,
        // A tried group that waits cannot be chosen, but determines when the caller should retry.
        candidates: candidates.filter(candidate => !tried.includes(candidate.head) || isWaiting(candidate)),
        recovering: healthyCount < parts.recentGroupCounts.add(`${context.service}/${model.name}`, healthyCount, now),
        dataCentre: parts.dataCentre,
        promptTokens: context.request.promptTokens,
        remainingMilliseconds: context.deadlineAt - now,
        random: parts.random,
    });
}

/** Returns the `Retry-After` of a request that a group refused: later than usual if no group takes a request now. */
export function refusedRetryMilliseconds(context: RequestContext, parts: RelayParts): number {
    const placement = placeStream(context, parts, []);
    return placement.kind === "refused" && placement.reason === "limited"
        ? placement.retryAfterMilliseconds
        : REFUSED_RETRY_AFTER_MILLISECONDS;
}

/**
 * Returns what is known of the groups for a request, for its admission; `undefined` if none takes requests at all, so that
 * the placement says why.
 */
export function groupsSeen(
    { service, request, lookup }: RequestContext,
    candidates: readonly PlacementCandidate[],
): GroupsSeen | undefined {
    const engine = lookup.findService(service)?.engine;
    const model = engine?.models.find(profile => profile.name === request.model);
    const healthy = candidates.filter(({ suspected }) => !suspected);
    if (engine === undefined || model === undefined || healthy.every(isWaiting)) {
        return undefined;
    }
    const mean = { prompt: engine.meanPromptTokens, answer: engine.meanOutputTokens };
    const work = { prompt: request.promptTokens, answer: request.expectedOutputTokens ?? engine.meanOutputTokens };
    const firstEvents = healthy
        .filter(candidate => !isWaiting(candidate) && candidate.inProgress < engine.slots)
        .map(candidate => estimateFirstEvent({ engine, model, promptTokens: request.promptTokens }, candidate));
    const idle = { inProgress: 0, pendingPromptTokens: 0, slowness: 1 };
    return {
        slots: engine.slots * healthy.length,
        inProgress: healthy.reduce((sum, { inProgress }) => sum + inProgress, 0),
        slotMilliseconds: decodeStepMilliseconds(engine, model, engine.slots) * engine.meanOutputTokens,
        workRatio: requestWorkMilliseconds(engine, model, work) / requestWorkMilliseconds(engine, model, mean),
        firstEventMilliseconds: firstEvents.length === 0 ? undefined : Math.min(...firstEvents),
        leastFirstEventMilliseconds: estimateFirstEvent({ engine, model, promptTokens: request.promptTokens }, idle),
    };
}

/** Adds the work of a request to the demand for its model, whether or not it can be served. */
export function recordDemand({ request, service, lookup }: RequestContext, { clock, demandOf }: RelayParts): void {
    const engine = lookup.findService(service)?.engine;
    const model = engine?.models.find(profile => profile.name === request.model);
    if (engine !== undefined && model !== undefined) {
        const output = request.expectedOutputTokens ?? engine.meanOutputTokens;
        const work = requestWorkMilliseconds(engine, model, { prompt: request.promptTokens, answer: output });
        demandOf(service).record(model.name, work, clock.monotonic());
    }
}

/** Describes the candidate groups for the log: head, requests in progress, and whether it is suspected or waits. */
export function describeCandidates(context: RequestContext, parts: RelayParts): readonly string[] {
    return candidatesOf(context, parts)
        .map(candidate => {
            const { head, inProgress, suspected } = candidate;
            return [head, inProgress, ...(suspected ? ["suspected"] : []), ...(isWaiting(candidate) ? ["limited"] : [])]
                .join(":");
        });
}

/** Returns whether the head takes no request of this daemon now, by the rate and the rest that it states. */
function isWaiting({ waitMilliseconds }: PlacementCandidate): boolean {
    return waitMilliseconds > 0;
}

/** Returns the groups that may serve a request, with what is known of them now. */
export function candidatesOf({ service, request }: RequestContext, parts: RelayParts): PlacementCandidate[] {
    return parts.state.servingGroups(service, request.model ?? "").map(group => toPlacementCandidate(group, parts));
}

function toPlacementCandidate(
    { head }: ServingGroup,
    { loadTracker, peerLoadOf: loadOfOthers, availability, speeds, connections }: RelayParts,
): PlacementCandidate {
    const load = loadTracker.get(head.id);
    const peerLoad = loadOfOthers(head.id);
    return {
        head: head.id,
        dataCentre: head.dataCentre,
        inProgress: (load?.inProgress ?? 0) + peerLoad.inProgress,
        pendingPromptTokens: (load?.pendingPromptTokens ?? 0) + peerLoad.pendingPromptTokens,
        suspected: load?.suspectedAt !== undefined,
        waitMilliseconds: availability.waitMilliseconds(head),
        slowness: speeds.slownessOf(head.id),
        isConnected: connections.isConnected(head.address),
    };
}
