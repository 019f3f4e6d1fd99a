/** Runs a chat completion request: selects a group, makes the attempts, and forwards the request if there is no group. */
import type { RouteRequest } from "@damaskvale/core";
import type { DispatchableGroup } from "../ports/groupview.js";
import { groupCandidates } from "./candidates.js";
import { attemptOnGroup } from "./chatattempt.js";
import { forwardChat } from "./forward.js";
import { hashPrefixes } from "./prefixes.js";
import { noReadyGroupError, stoppedError } from "./refusals.js";
import type { RuleLimits } from "./rulelimits.js";
import { attemptsFailedError, nextAttemptId, recordAttempt, type Run, type RunResult, waitForRetry } from "./run.js";
import type { ChatRequest } from "./types.js";

/** Runs the request until it is answered or must not be retried. */
export async function runChat(run: Run<ChatRequest>, limits: RuleLimits): Promise<RunResult> {
    const { context, request, lifetime } = run;
    const prefixes = hashPrefixes(request.body["messages"]);
    // Only the daemon that received the request from the caller retries work that may have run.
    const repeatable = request.forwardedBy === undefined;
    for (;;) {
        if (lifetime.reason() !== undefined) {
            return { error: stoppedError(lifetime, run.mayHaveRun), tokens: 0 };
        }
        if (!await waitForRetry(run, repeatable, lifetime.signal)) {
            return { error: attemptsFailedError(run), tokens: 0 };
        }
        if (lifetime.reason() !== undefined) {
            continue;
        }
        const routing = context.tracer.start("routing", request.traceparent);
        const selection = selectGroup(run, limits, prefixes);
        routing.setAttribute("target", selection.group?.group ?? "none");
        routing.end();
        if (selection.group === undefined) {
            return await runWithoutGroup(run, selection.limitedByRule);
        }
        const finish = limits.begin(selection.rule, context.clock.monotonic());
        const tokens = await tryGroup(run, { ...selection, group: selection.group }).finally(finish);
        if (tokens !== undefined) {
            return { tokens };
        }
    }
}

function selectGroup(run: Run<ChatRequest>, limits: RuleLimits, prefixes: readonly string[]) {
    const { context, request } = run;
    const now = context.clock.monotonic();
    const groups = context.groups.dispatchable(request.model);
    const found = groupCandidates(context.table.current(), limits, request.team.name, groups, now);
    const routeRequestOf = (excluded: readonly string[]): RouteRequest => ({
        prefixes,
        priority: request.priority,
        excluded,
    });
    const router = context.router(request.model);
    const first = router.choose(found.candidates, routeRequestOf(run.tried), now);
    // A group that failed is tried again only if there is no other group and the last failure was not a refusal.
    const allowTried = first.target === undefined && run.tried.length > 0 && run.lastFailure?.kind !== "refused";
    const choice = allowTried ? router.choose(found.candidates, routeRequestOf([]), now) : first;
    const chosen = found.targets.get(choice.target ?? "");
    return {
        group: chosen?.target,
        rule: chosen?.rule,
        choice,
        route: routeRequestOf(run.tried),
        limitedByRule: found.limitedByRule,
    };
}

async function runWithoutGroup(run: Run<ChatRequest>, limitedByRule: boolean): Promise<RunResult> {
    const { context, request } = run;
    if (context.groups.dispatchable(request.model).length === 0) {
        const forwarded = await forwardChat(run);
        if (forwarded !== undefined) {
            return forwarded;
        }
    }
    if (run.attempts > 0) {
        return { error: attemptsFailedError(run), tokens: 0 };
    }
    if (limitedByRule) {
        return { error: { code: "rate_limited", message: "A rule limits the requests to this model." }, tokens: 0 };
    }
    return {
        error: noReadyGroupError(request.model),
        tokens: 0,
    };
}

/** Makes one attempt. Returns the tokens of a complete response, or `undefined` after a failure. */
async function tryGroup(
    run: Run<ChatRequest>,
    selection: ReturnType<typeof selectGroup> & { readonly group: DispatchableGroup; },
): Promise<number | undefined> {
    const { context, request } = run;
    const { group, choice, route } = selection;
    const router = context.router(request.model);
    const startedAt = context.clock.monotonic();
    const attemptId = nextAttemptId(run);
    const span = context.tracer.start("attempt", request.traceparent);
    span.setAttribute("attempt", attemptId);
    span.setAttribute("group", group.group);
    router.sent(group.group, route, startedAt);
    const result = await attemptOnGroup(run, group, attemptId, span.traceparent);
    const refused = result.failure?.kind === "refused" || result.failure?.kind === "not-sent";
    router.finished({
        target: group.group,
        finishedAt: context.clock.monotonic(),
        result: result.failure === undefined
            ? "complete"
            : run.lifetime.signal.aborted
            ? "cancelled"
            : refused
            ? "refused"
            : "failed",
        ...(result.firstTokenAt === undefined ? {} : { firstTokenMilliseconds: result.firstTokenAt - startedAt }),
    });
    recordAttempt(run, {
        attemptId,
        target: group.group,
        fence: group.fence,
        weighed: choice.weighed,
        startedAt,
        failure: result.failure,
        resumes: result.resumes,
    });
    run.mayHaveRun ||= result.mayHaveRun;
    if (result.firstTokenAt !== undefined) {
        const firstTokenMilliseconds = result.firstTokenAt - request.receivedAt;
        context.metrics.timing("request.first_token", firstTokenMilliseconds, { model: request.model });
    }
    span.end(result.failure?.message);
    return result.failure === undefined ? result.tokens : undefined;
}
