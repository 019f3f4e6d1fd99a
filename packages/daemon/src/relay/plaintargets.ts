/** Choice of the plain target of a request, what it is sent, and what the end of an attempt says about it. */
import { choosePlainTarget, type Target } from "@damaskvale/core";
import type { HeaderList, ResponseHead } from "../ports/relayprotocol.js";
import { InvalidStatusError } from "../responsestatus.js";
import type { PlainAttempt } from "./plainattempt.js";
import { type RelayParts, type RequestContext, statedPriority } from "./requestcontext.js";
import { writeResponseHead } from "./responses.js";
import { isLostConnection, type TargetRequest } from "./targetconnections.js";

/** `Retry-After` while no target of the service is registered. */
export const NO_TARGET_RETRY_AFTER_MILLISECONDS = 1_000;

/** Returns the targets of the request's service that have not been tried for it. */
export function untriedTargets(
    { service }: RequestContext,
    tried: readonly string[],
    { state }: RelayParts,
): readonly Target[] {
    return state.servingTargets(service).filter(({ id }) => !tried.includes(id));
}

/** Returns the waits for the targets that were not tried, or for all if there are none or the request was sent. */
export function waitsOfTargets(
    context: RequestContext,
    tried: readonly string[],
    sends: number,
    parts: RelayParts,
): readonly number[] {
    const untried = untriedTargets(context, tried, parts);
    const targets = sends === 0 && untried.length > 0 ? untried : parts.state.servingTargets(context.service);
    return targets.map(target => parts.availability.waitMilliseconds(target));
}

/** Returns the least loaded of the targets that takes a request now; one that fails many requests is chosen rarely. */
export function chooseAmong(targets: readonly Target[], parts: RelayParts): Target | undefined {
    const candidates = targets.map(target => {
        const inProgress = parts.loadTracker.get(target.id)?.inProgress ?? 0;
        const failureShare = parts.failures.shareOf(target);
        return {
            id: target.id,
            dataCentre: target.dataCentre,
            inProgress,
            waitMilliseconds: parts.availability.waitMilliseconds(target),
            slowness: parts.speeds.slownessOf(target.id),
            failureShare,
            totalInProgress: failureShare === undefined
                ? undefined
                : inProgress + parts.peerLoadOf(target.id).inProgress,
            slots: target.slots,
        };
    });
    const chosen = choosePlainTarget(candidates, parts.dataCentre, parts.random);
    return targets.find(({ id }) => id === chosen);
}

/** Returns the request as it is sent to a target; one that is not repeatable goes on a new connection. */
export function encodePlainRequest(
    context: RequestContext,
    target: Target,
    { protocol, clock }: RelayParts,
): TargetRequest {
    const { request, body, deadlineAt, admitted } = context;
    const headers = protocol.encodeForTarget(request, {
        target: target.id,
        remainingMilliseconds: deadlineAt - clock.monotonic(),
        team: admitted.team?.name,
        priority: statedPriority(context),
    });
    const onNewConnection = admitted.route.kind !== "repeatable";
    return { method: request.method, path: request.path, headers, body, onNewConnection };
}

/** Sends the caller a response whose body has been received. */
export function writeWholeResponse(
    { request, response }: RequestContext,
    head: ResponseHead,
    forwarded: HeaderList,
    body: Buffer,
): void {
    const hasLength = head.delimited && request.method !== "HEAD";
    writeResponseHead(response, head, [...forwarded, ...hasLength ? ["Content-Length", String(body.length)] : []]);
    response.end(body);
}

/** Records whether a complete response is a failure of its target. One that says that the request has not run is neither. */
export function recordAnswer({ target, head, decoded }: PlainAttempt, { failures }: RelayParts): void {
    if (head !== undefined && decoded !== undefined && !decoded.notRun && !decoded.misdirected) {
        failures.record(target, head.status >= 500);
    }
}

/** Records the loss of a connection on which the request was sent, or a status of no answer, as a failure of its target. */
export function recordFailure({ target, sent }: PlainAttempt, error: Error, { failures }: RelayParts): void {
    if (sent && (isLostConnection(error) || error instanceof InvalidStatusError)) {
        failures.record(target, true);
    }
}

/** Compares the time of a response with those of the other targets. Errors are often quicker. */
export function recordSpeed({ target, sentAt, head }: PlainAttempt, route: string, parts: RelayParts): void {
    if (head === undefined || head.status >= 400) {
        return;
    }
    const now = parts.clock.monotonic();
    const ratio = parts.routeTimes.record(route, target.id, now - sentAt, now);
    if (ratio !== undefined) {
        parts.speeds.record(target.id, ratio);
    }
}
