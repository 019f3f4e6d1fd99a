/** Dispatcher task: runs requests, gives each exactly one final answer, and drains at shutdown. */
import { errorCodes, type Router } from "@damaskvale/core";
import { createActiveRequests } from "./active.js";
import { createDelivery } from "./delivery.js";
import { createExplanations } from "./explanations.js";
import { createLifetime } from "./lifetime.js";
import type { DispatchContext, DispatcherOptions } from "./options.js";
import { createPipeline } from "./pipeline.js";
import { refuse } from "./refusals.js";
import type { RunResult } from "./run.js";
import type { CallerError, DispatchRequest, Explanation, ResponseSink } from "./types.js";

/** Dispatcher of one daemon. */
export interface Dispatcher {
    /** Runs a request; resolves when nothing of it goes on any more. Never rejects. */
    submit(request: DispatchRequest, sink: ResponseSink): Promise<void>;
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
    /** Router of a model, for the cache events of its engines. */
    routerOf(model: string): Router;
    close(): void;
}

/** Makes the dispatcher. */
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
            sink.fail(refuse(error, options.random));
            countAnswer(options, request, error);
            return;
        }
        const lifetime = createLifetime(clock, request.deadlineAt, sink.gone);
        const delivery = createDelivery(sink);
        active.add(request.id, { lifetime, delivery });
        explanations.put(explanationOf(request, clock.wall()));
        metrics.gauge("requests.in_progress", active.size());
        const { error }: RunResult = await pipeline.run(request, { lifetime, delivery });
        if (error !== undefined) {
            delivery.fail(refuse(error, options.random));
        }
        lifetime.end();
        const { outcome, code } = countAnswer(options, request, error);
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

function countAnswer({ metrics }: DispatcherOptions, request: DispatchRequest, error: CallerError | undefined) {
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
