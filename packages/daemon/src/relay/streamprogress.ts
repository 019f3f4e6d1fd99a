/** What an attempt at a stream adds to the load and the speed of its group. */
import type { RelayParts, RequestContext } from "./requestcontext.js";
import type { StreamAttempt } from "./streamattempt.js";

/** Records that events with content arrived; the first one ends the prefill. */
export function recordProgress(
    { request }: RequestContext,
    { loadTracker, speeds }: RelayParts,
    attempt: StreamAttempt,
    { events, at }: { readonly events: number; readonly at: number; },
): void {
    if (!attempt.started) {
        attempt.started = true;
        loadTracker.started(attempt.head, request.promptTokens, at);
    }
    loadTracker.progressed(attempt.head, at);
    attempt.observed.progressed();
    const slowness = attempt.pauses.record(events, at);
    if (slowness !== undefined) {
        speeds.record(attempt.head, slowness);
    }
}

/** Takes an attempt that has ended off the load of its group, once. */
export function releaseAttempt({ request }: RequestContext, { loadTracker }: RelayParts, attempt: StreamAttempt): void {
    if (!attempt.isReleased) {
        attempt.isReleased = true;
        attempt.observed.dropped();
        loadTracker.ended(attempt.head, request.promptTokens, attempt.started);
    }
}
