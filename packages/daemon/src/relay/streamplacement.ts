/** Asks the placement for a group, with what this daemon knows of the groups that serve the model. */
import {
    type EngineGroup,
    type Placement,
    type PlacementCandidate,
    placeRequest,
    requestWorkMilliseconds,
} from "@damaskvale/core";
import type { RelayParts, RequestContext } from "./context.js";

/** Wait of a caller whose request every group refused. */
export const REFUSED_RETRY_MILLISECONDS = 800;

/** Places a request at a group that it has not tried. */
export function placeStream(context: RequestContext, parts: RelayParts, tried: readonly string[]): Placement {
    const engine = context.lookup.findService(context.service)?.engine;
    const model = engine?.models.find(profile => profile.name === context.request.model);
    if (engine === undefined || model === undefined) {
        return { kind: "refused", reason: "no-group", retryAfterMilliseconds: REFUSED_RETRY_MILLISECONDS };
    }
    const candidates = candidatesOf(context, parts);
    const sound = candidates.filter(({ suspected }) => !suspected).length;
    const now = parts.clock.monotonic();
    return placeRequest({
        engine,
        model,
        candidates: candidates.filter(({ head }) => !tried.includes(head)),
        recovering: sound < parts.groupsLately.add(`${context.service}/${model.name}`, sound, now),
        dataCentre: parts.dataCentre,
        promptTokens: context.request.promptTokens,
        remainingMilliseconds: context.deadlineAt - now,
        random: parts.random,
    });
}

/** Counts the work of a request towards the demand for its model, whether it can be served or not. */
export function noteDemand({ request, service, lookup }: RequestContext, { clock, demandOf }: RelayParts): void {
    const engine = lookup.findService(service)?.engine;
    const model = engine?.models.find(profile => profile.name === request.model);
    if (engine !== undefined && model !== undefined) {
        const answer = request.expectedOutputTokens ?? engine.meanOutputTokens;
        const work = requestWorkMilliseconds(engine, model, { prompt: request.promptTokens, answer });
        demandOf(service).record(model.name, work, clock.monotonic());
    }
}

/** Groups that were weighed, for the log: head, requests in progress, and whether it makes no progress. */
export function weighedGroups(context: RequestContext, parts: RelayParts): readonly string[] {
    return candidatesOf(context, parts)
        .map(({ head, inProgress, suspected }) => `${head}:${inProgress}${suspected ? ":suspected" : ""}`);
}

function candidatesOf({ service, request }: RequestContext, parts: RelayParts): PlacementCandidate[] {
    return parts.state.servingGroups(service, request.model ?? "").map(group => describe(group, parts));
}

function describe(group: EngineGroup, { board, loadOfOthers }: RelayParts): PlacementCandidate {
    const head = group.head?.id ?? "";
    const load = board.get(head);
    const others = loadOfOthers(head);
    return {
        head,
        dataCentre: group.head?.dataCentre ?? "",
        inProgress: (load?.inProgress ?? 0) + others.inProgress,
        pendingPromptTokens: (load?.pendingPromptTokens ?? 0) + others.pendingPromptTokens,
        suspected: load?.suspectedAt !== undefined,
    };
}
