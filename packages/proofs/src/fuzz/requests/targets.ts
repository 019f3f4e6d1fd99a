/** Fake engines and services that record what they execute. */
import type { EngineClient, EngineEvent, EngineRequest, TargetFailure } from "@damaskvale/daemon/dist/ports/engine.js";
import type { ServiceClient, ServiceRequest } from "@damaskvale/daemon/dist/ports/service.js";
import { Err, Ok } from "ts-results";
import type { Trace } from "../types.js";
import type { Behaviour } from "./scenario.js";

/** One execution at a target. */
export interface Execution {
    readonly requestId: string;
    readonly key?: string;
}

/** How the targets treat the attempts of a request. */
export interface RequestPlan {
    readonly behaviours: Behaviour[];
    readonly connectMilliseconds: number;
    readonly deadlineAt: number;
}

/** Fake targets. */
export interface FakeTargets {
    readonly engines: EngineClient;
    readonly services: ServiceClient;
    readonly executions: readonly Execution[];
    /** Attempts that were written after the deadline of their request. */
    readonly lateAttempts: readonly string[];
}

/** Number of data events of a complete stream. */
export const STREAM_EVENTS = 4;
const WORK_MILLISECONDS = 30;
const SLOW_MILLISECONDS = 1_500;
const SILENCE_MILLISECONDS = 5_000;
const LATE_MILLISECONDS = 2_500;

const failures: Partial<Record<Behaviour, TargetFailure["kind"]>> = {
    "refused": "refused",
    "lost": "broken",
    "broken": "broken",
    "broken-late": "broken",
    "silent": "silent",
    "failed": "failed",
};
const executesAtOnce = (behaviour: Behaviour): boolean => !["refused", "lost", "broken-late"].includes(behaviour);

/** Creates the targets. `planOf` returns the plan of a request by its id. */
export function createFakeTargets(
    planOf: (requestId: string) => RequestPlan,
    now: () => number,
    trace: Trace,
): FakeTargets {
    const executions: Execution[] = [];
    const lateAttempts: string[] = [];

    /** Writes an attempt. Returns its behaviour, or a failure if nothing was written. */
    const write: Write = async request => {
        const requestId = request.attemptId.replace(/-\d+$/, "");
        const plan = planOf(requestId);
        const behaviour = plan.behaviours.shift() ?? "complete";
        await sleep(plan.connectMilliseconds, request.signal);
        const allowed = !request.signal.aborted && behaviour !== "not-sent" && (request.mayWrite?.() ?? true);
        if (!allowed) {
            trace(`${request.attemptId} is not sent`);
            return { kind: "not-sent", message: "not sent" };
        }
        trace(`${request.attemptId} is written: ${behaviour}`);
        lateAttempts.push(...(now() > plan.deadlineAt ? [request.attemptId] : []));
        const execute = (): void => {
            trace(`${request.attemptId} is executed`);
            executions.push({ requestId, key: request.idempotencyKey });
        };
        if (executesAtOnce(behaviour)) {
            execute();
        }
        if (behaviour === "broken-late") {
            setTimeout(execute, LATE_MILLISECONDS);
        }
        return behaviour;
    };

    return {
        engines: createEngines(write),
        executions,
        lateAttempts,
        services: {
            call: async request => {
                const behaviour = await write(request);
                if (typeof behaviour !== "string") {
                    return Err(behaviour);
                }
                const failure = await finish(behaviour, request.signal);
                return failure === undefined
                    ? Ok({ status: 200, headers: {}, body: Buffer.from(`answer ${request.body.toString()}`) })
                    : Err(failure);
            },
        },
    };
}

type Write = (request: EngineRequest | ServiceRequest) => Promise<Behaviour | TargetFailure>;

function createEngines(write: Write): EngineClient {
    return {
        report: () => Promise.reject(new Error("not used")),
        order: () => Promise.reject(new Error("not used")),
        cancel: () => Promise.resolve(),
        complete: async function*(request) {
            const behaviour = await write(request);
            if (typeof behaviour !== "string") {
                yield { kind: "failure", failure: behaviour };
                return;
            }
            const failure = await finish(behaviour, request.signal);
            if (failure !== undefined) {
                yield { kind: "failure", failure };
            }
            else if (request.stream) {
                const partial = behaviour.startsWith("partial");
                yield* streamEvents(request, 0, partial ? 2 : STREAM_EVENTS, behaviour === "partial-lost");
            }
            else if (behaviour.startsWith("partial")) {
                yield { kind: "failure", failure: { kind: "broken", message: behaviour } };
            }
            else {
                yield { kind: "whole", status: 200, body: { text: markerOf(request) } };
            }
        },
        resume: async function*(request, from) {
            await sleep(WORK_MILLISECONDS, request.signal);
            if (request.body["forgotten"] === true || from === 0) {
                yield { kind: "failure", failure: { kind: "failed", message: "forgotten" } };
                return;
            }
            yield* streamEvents(request, from, STREAM_EVENTS, false);
        },
    };
}

async function finish(behaviour: Behaviour, signal: AbortSignal): Promise<TargetFailure | undefined> {
    const wait = behaviour === "slow" ? SLOW_MILLISECONDS : WORK_MILLISECONDS;
    await sleep(behaviour === "silent" ? SILENCE_MILLISECONDS : wait, signal);
    const kind = failures[behaviour];
    if (signal.aborted) {
        return { kind: "cancelled", message: "cancelled" };
    }
    return kind === undefined ? undefined : { kind, message: behaviour, lost: "target" };
}

async function* streamEvents(
    request: EngineRequest,
    from: number,
    to: number,
    forget: boolean,
): AsyncGenerator<EngineEvent> {
    for (let index = from; index < to; index += 1) {
        await sleep(WORK_MILLISECONDS, request.signal);
        if (request.signal.aborted) {
            yield { kind: "failure", failure: { kind: "cancelled", message: "cancelled" } };
            return;
        }
        yield { kind: "chunk", index, data: { text: `${markerOf(request)} ${index}` } };
    }
    if (to === STREAM_EVENTS) {
        yield { kind: "done" };
        return;
    }
    Object.assign(request.body, { forgotten: forget });
    yield { kind: "failure", failure: { kind: "broken", message: "cut" } };
}

/** Text that only the answer to this request contains. */
function markerOf(request: EngineRequest): string {
    return `answer ${String(request.body["marker"])}`;
}

function sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (milliseconds === 0 || signal.aborted) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const wake = (): void => {
            clearTimeout(timer);
            signal.removeEventListener("abort", wake);
            resolve();
        };
        const timer = setTimeout(wake, milliseconds);
        signal.addEventListener("abort", wake);
    });
}
