/** Dispatcher task: admits requests, runs them, gives each exactly one final answer, and drains at shutdown. */
import { errorCodes, type Router } from "@damaskvale/core";
import { runChat } from "./chat.js";
import { runClaimed } from "./claimed.js";
import { createDelivery, type Delivery } from "./delivery.js";
import { createExplanations } from "./explanations.js";
import { claimRequestOf } from "./keys.js";
import { createLifetime, type Lifetime } from "./lifetime.js";
import type { DispatchContext, DispatcherOptions } from "./options.js";
import { refuse, stopped } from "./refusals.js";
import { createRuleLimits } from "./rulelimits.js";
import { createRun, type RunResult } from "./run.js";
import { runRepeatable } from "./service.js";
import type { AnswerSink, CallerError, ChatRequest, DispatchRequest, Explanation } from "./types.js";
import { createWaiting } from "./waiting.js";

/** Dispatcher of one daemon. */
export interface Dispatcher {
    /** Runs a request; resolves when nothing of it goes on any more. Never rejects. */
    submit(request: DispatchRequest, sink: AnswerSink): Promise<void>;
    /** Refuses new requests from now on. */
    beginDrain(): void;
    /** Resolves when no request is in progress. */
    idle(): Promise<void>;
    /** Stops all requests in progress, with their final answers, and returns their ids. */
    cutOff(): string[];
    inProgress(): number;
    explain(requestId: string): Explanation | undefined;
    /** Requests a second that each team asked for since the last call. */
    demand(): ReadonlyMap<string, number>;
    close(): void;
}

interface InProgress {
    readonly lifetime: Lifetime;
    readonly delivery: Delivery;
}

/** How long the computed capacity stands before the groups are counted again. */
const CAPACITY_AGE_MILLISECONDS = 250;
/** Tokens that an answer is expected to have when the caller names no bound. */
const EXPECTED_ANSWER_TOKENS = 256;
/** Characters of a prompt that make about one token. */
const CHARACTERS_PER_TOKEN = 4;

/** Makes the dispatcher. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { clock, admission, metrics, log } = options;
    const context = createContext(options);
    const { explanations } = context;
    const limits = createRuleLimits();
    const inProgress = new Map<string, InProgress>();
    /** Body hashes of not repeatable requests in progress here, by team and key. */
    const keys = new Map<string, string>();
    const idle = new Set<() => void>();
    const state = { draining: false, capacityAt: -Infinity };

    const refreshCapacity = (): void => {
        const now = clock.monotonic();
        if (now - state.capacityAt >= CAPACITY_AGE_MILLISECONDS) {
            state.capacityAt = now;
            admission.setCapacity(capacityOf(options), now);
        }
    };
    const waiting = createWaiting(admission, clock, refreshCapacity);
    admission.configure(options.shares.current(), clock.monotonic());
    const unsubscribe = options.shares.subscribe(shares => {
        admission.configure(shares, clock.monotonic());
        waiting.poll();
    });

    const runAdmitted = (request: DispatchRequest, { delivery, lifetime }: InProgress): Promise<RunResult> => {
        if (request.kind === "chat") {
            return runChat(createRun(context, request, delivery, lifetime), limits);
        }
        const run = createRun(context, request, delivery, lifetime);
        return request.repeatable ? runRepeatable(run, limits) : runClaimed(run, claimRequestOf(request), limits);
    };

    const admitAndRun = async (request: DispatchRequest, entry: InProgress): Promise<RunResult> => {
        refreshCapacity();
        const span = options.tracer.start("admission", request.traceparent);
        const admitted = await waiting.admit({
            id: request.id,
            team: request.team.name,
            priority: request.priority,
            tokens: estimateTokens(request),
            deadlineAt: request.deadlineAt,
        }, entry.lifetime.signal);
        span.setAttribute("decision", admitted.kind);
        span.end();
        explanations.update(request.id, () => ({ admission: admitted.kind }));
        if (admitted.kind === "withdrawn") {
            return { error: stopped(entry.lifetime, false), tokens: 0 };
        }
        if (admitted.kind === "refused") {
            const { code, retryAfterMilliseconds } = admitted;
            return { error: { code, message: refusalTexts[code], retryAfterMilliseconds }, tokens: 0 };
        }
        const used = { tokens: 0 };
        try {
            const result = await runAdmitted(request, entry);
            used.tokens = result.tokens;
            return result;
        }
        finally {
            waiting.finish(request.id, used.tokens);
        }
    };

    const withKey = async (request: DispatchRequest, entry: InProgress): Promise<RunResult> => {
        if (request.kind === "chat" || request.repeatable) {
            return admitAndRun(request, entry);
        }
        // A duplicate of a request in progress here is never told `not-run`, whatever admission would say.
        const { team, keyHash, bodyHash } = claimRequestOf(request);
        const key = `${team} ${keyHash}`;
        const known = keys.get(key);
        if (known !== undefined) {
            return { error: known === bodyHash ? duplicateError : reusedError, tokens: 0 };
        }
        keys.set(key, bodyHash);
        try {
            return await admitAndRun(request, entry);
        }
        finally {
            keys.delete(key);
        }
    };

    const guarded = async (request: DispatchRequest, entry: InProgress): Promise<RunResult> => {
        try {
            return await withKey(request, entry);
        }
        catch (error) {
            log.emit("requestFailed", { requestId: request.id, error: (error as Error).stack ?? String(error) });
            return { error: { code: "internal_error", message: "The request failed inside the daemon." }, tokens: 0 };
        }
    };

    const finish = (request: DispatchRequest, entry: InProgress, { error }: RunResult): void => {
        const spread = error === undefined ? undefined : refuse(error, options.random);
        if (spread !== undefined) {
            entry.delivery.fail(spread);
        }
        entry.lifetime.end();
        inProgress.delete(request.id);
        const outcome = spread === undefined ? "complete" : spread.outcome ?? errorCodes[spread.code].outcome;
        const code = spread?.code ?? "none";
        const now = clock.monotonic();
        metrics.increment("requests", 1, { route: request.kind, outcome, code });
        metrics.timing("request.duration", now - request.receivedAt, { route: request.kind });
        metrics.gauge("requests.in_progress", inProgress.size);
        explanations.update(request.id, () => ({ finishedAt: now, outcome, code }));
        if (inProgress.size === 0) {
            [...idle].forEach(resolve => resolve());
            idle.clear();
        }
    };

    return {
        submit: async (request, sink) => {
            if (state.draining) {
                const message = "The daemon is shutting down.";
                sink.fail(refuse({ code: "shutting_down", message }, options.random));
                metrics.increment("requests", 1, { route: request.kind, outcome: "not-run", code: "shutting_down" });
                return;
            }
            const entry = {
                lifetime: createLifetime(clock, request.deadlineAt, sink.gone),
                delivery: createDelivery(sink),
            };
            inProgress.set(request.id, entry);
            explanations.put(explanationOf(request, clock.wall()));
            metrics.gauge("requests.in_progress", inProgress.size);
            finish(request, entry, await guarded(request, entry));
        },
        beginDrain: () => {
            state.draining = true;
        },
        idle: () => inProgress.size === 0 ? Promise.resolve() : new Promise(resolve => idle.add(resolve)),
        cutOff: () => {
            const ids = [...inProgress.keys()];
            [...inProgress.values()].forEach(({ lifetime }) => lifetime.stop("cut"));
            return ids;
        },
        inProgress: () => inProgress.size,
        explain: requestId => explanations.get(requestId),
        demand: () => admission.demand(clock.monotonic()),
        close: () => {
            unsubscribe();
            waiting.close();
        },
    };
}

const refusalTexts = {
    rate_limited: "The team has used its rate limit.",
    queue_full: "The queue of the team is full.",
    deadline_exceeded: "The request would wait beyond its deadline.",
} as const;
const duplicateError: CallerError = {
    code: "request_in_progress",
    message: "A request with this idempotency key is in progress.",
};
const reusedError: CallerError = {
    code: "key_reused",
    message: "The idempotency key is in use with a different request.",
    param: "idempotency-key",
};

function createContext(options: DispatcherOptions): DispatchContext {
    const routers = new Map<string, Router>();
    return {
        ...options,
        explanations: createExplanations(options.maximumExplanations),
        router: name => {
            const router = routers.get(name) ?? options.createRouter(name);
            routers.set(name, router);
            return router;
        },
    };
}

function capacityOf({ table, groups, concurrencyPerGroup }: DispatcherOptions): number {
    return table.current().rows.reduce((total, { row }) => {
        if (row.kind === "model") {
            return total + groups.dispatchable(row.name).length * concurrencyPerGroup;
        }
        return row.kind === "service" ? total + (row.concurrency ?? row.urls.length * concurrencyPerGroup) : total;
    }, 0);
}

function estimateTokens(request: DispatchRequest): number {
    if (request.kind === "service") {
        return 1;
    }
    const bound = request.body["max_completion_tokens"] ?? request.body["max_tokens"];
    const answer = typeof bound === "number" && bound > 0 ? bound : EXPECTED_ANSWER_TOKENS;
    return Math.ceil(request.rawBody.length / CHARACTERS_PER_TOKEN) + answer;
}

function explanationOf(request: DispatchRequest, wallTime: number): Explanation {
    const forwardedBy = (request as ChatRequest).forwardedBy;
    return {
        requestId: request.id,
        team: request.team.name,
        route: request.kind,
        subject: request.kind === "chat" ? request.model : `${request.service.name} ${request.method}`,
        priority: request.priority,
        wallTime,
        receivedAt: request.receivedAt,
        deadlineAt: request.deadlineAt,
        repeatable: request.kind === "chat" || request.repeatable,
        ...(forwardedBy === undefined ? {} : { forwardedBy }),
        attempts: [],
    };
}
