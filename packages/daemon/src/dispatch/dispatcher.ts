/** Dispatcher: runs requests, gives each exactly one final response, and drains at shutdown. */
import { errorCodes, type Router } from "@damaskvale/core";
import { createActiveRequests } from "./active.js";
import { createDelivery } from "./delivery.js";
import { createExplanations } from "./explanations.js";
import { createLifetime } from "./lifetime.js";
import type { DispatchContext, DispatcherOptions } from "./options.js";
import { createPipeline } from "./pipeline.js";
import { withRetryAfter } from "./refusals.js";
import type { RunResult } from "./run.js";
import type { CallerError, DispatchRequest, Explanation, ResponseSink } from "./types.js";

/** Dispatcher of one daemon. */
export interface Dispatcher {
    /** Runs a request. Resolves when no work for it is left. Never rejects. */
    submit(request: DispatchRequest, sink: ResponseSink): Promise<void>;
    /** Starts to refuse new requests. */
    beginDrain(): void;
    /** Resolves when no request is in progress. */
    idle(): Promise<void>;
    /** Stops all requests in progress, each with a final response, and returns their ids. */
    cutOff(): string[];
    inProgress(): number;
    explain(requestId: string): Explanation | undefined;
    /** Offered load of each team since the last call, in requests per second. */
    demand(): ReadonlyMap<string, number>;
    /** Returns the router of a model, which takes the cache events of its engines. */
    routerOf(model: string): Router;
    close(): void;
}

/** Creates the dispatcher. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { clock, metrics } = options;
    const context = createContext(options);
    const { explanations } = context;
    const pipeline = createPipeline(context);
    const active = createActiveRequests();
    let draining = false;

    const submit = async (request: DispatchRequest, sink: ResponseSink): Promise<void> => {
        if (draining) {
            const error: CallerError = { code: "shutting_down", message: "The daemon is shutting down." };
            sink.fail(withRetryAfter(error, options.random));
            recordOutcome(options, request, error);
            return;
        }
        const lifetime = createLifetime(clock, request.deadlineAt, sink.gone);
        const delivery = createDelivery(sink);
        active.add(request.id, { lifetime, delivery });
        explanations.put(explanationOf(request, clock.wall()));
        metrics.gauge("requests.in_progress", active.size());
        const { error }: RunResult = await pipeline.run(request, { lifetime, delivery });
        if (error !== undefined) {
            delivery.fail(withRetryAfter(error, options.random));
        }
        lifetime.end();
        const { outcome, code } = recordOutcome(options, request, error);
        metrics.timing("request.duration", clock.monotonic() - request.receivedAt, { route: request.kind });
        explanations.update(request.id, () => ({ finishedAt: clock.monotonic(), outcome, code }));
        active.remove(request.id);
        metrics.gauge("requests.in_progress", active.size());
    };

    return {
        submit,
        beginDrain: () => {
            draining = true;
        },
        idle: active.idle,
        cutOff: active.cutOff,
        inProgress: active.size,
        explain: explanations.get,
        demand: () => options.admission.demand(clock.monotonic()),
        routerOf: context.router,
        close: pipeline.close,
    };
}

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

function recordOutcome({ metrics }: DispatcherOptions, request: DispatchRequest, error: CallerError | undefined) {
    const outcome = error === undefined ? "complete" : error.outcome ?? errorCodes[error.code].outcome;
    const code = error?.code ?? "none";
    metrics.increment("requests", 1, { route: request.kind, outcome, code });
    return { outcome, code };
}

function explanationOf(request: DispatchRequest, wallTime: number): Explanation {
    const { id, kind, team, priority, receivedAt, deadlineAt } = request;
    return {
        requestId: id,
        team: team.name,
        route: kind,
        subject: request.kind === "chat" ? request.model : `${request.service.name} ${request.method}`,
        priority,
        wallTime,
        receivedAt,
        deadlineAt,
        repeatable: request.kind === "chat" || request.repeatable,
        ...(request.kind === "chat" && request.forwardedBy !== undefined ? { forwardedBy: request.forwardedBy } : {}),
        attempts: [],
    };
}
