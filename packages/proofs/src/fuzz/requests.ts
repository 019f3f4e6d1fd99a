/**
 * Fuzz module of the request path: two dispatchers with fake targets, fake claims and a fake clock.
 *
 * Invariants: every request gets exactly one final answer, which is its own and is complete or marked as incomplete;
 * `not-run` is returned only for a request that no target executed or will execute; a key that is not repeatable is
 * executed at most once; no attempt is written after the deadline; no claim stays open after its request has ended;
 * every refusal because of load, limits or an outage has a retry time.
 */
import { errorCodes } from "@damaskvale/core";
import { createDispatcher, type Dispatcher, type DispatchRequest } from "@damaskvale/daemon";
import {
    baseRows,
    createGroup,
    createGroups,
    createOptions,
    createTable,
} from "@damaskvale/daemon/dist/dispatch/tests/fakes.js";
import { createPublished } from "@damaskvale/daemon/dist/tasks/published.js";
import { type Clock, install } from "@sinonjs/fake-timers";
import { strict as assert } from "node:assert";
import { type Caller, createCaller } from "./requests/caller.js";
import { createFakeClaims, type FakeClaims } from "./requests/claims.js";
import { scenarios, type Step, type SubmitStep } from "./requests/scenario.js";
import { createFakeTargets, type FakeTargets, type RequestPlan, STREAM_EVENTS } from "./requests/targets.js";
import { createFuzzModule, type Trace } from "./types.js";

interface World {
    readonly clock: Clock;
    readonly now: () => number;
    readonly pause: (milliseconds: number) => void;
    readonly dispatchers: readonly Dispatcher[];
    readonly targets: FakeTargets;
    readonly claims: FakeClaims;
    readonly setGroup: (group: number, dispatchable: boolean) => void;
    readonly setDraining: (draining: boolean) => void;
    readonly plans: Map<string, RequestPlan>;
    readonly callers: Caller[];
    readonly trace: Trace;
}

type Handlers = { readonly [Kind in Step["kind"]]: (world: World, step: Extract<Step, { kind: Kind; }>) => unknown; };

/** Longer than every deadline, retry and late execution of a scenario. */
const SETTLE_MILLISECONDS = 40_000;

const handlers: Handlers = {
    submit: (world, step) => submit(world, step),
    advance: ({ clock }, { milliseconds }) => clock.tickAsync(milliseconds),
    pause: ({ pause }, { milliseconds }) => pause(milliseconds),
    disconnect: ({ callers }, { request }) => callers[request]?.disconnect(),
    group: ({ setGroup }, { group, dispatchable }) => setGroup(group, dispatchable),
    service: ({ setDraining }, { draining }) => setDraining(draining),
    claims: ({ claims }, { state }) => claims.setLogState(state),
    cut: ({ dispatchers }, { daemon }) => dispatchers[daemon]?.cutOff(),
};

/** Fuzz module of the request path. */
export const requestsFuzz = createFuzzModule("requests", scenarios, async (steps, trace) => {
    const clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval"] });
    try {
        const world = createWorld(clock, trace);
        for (const step of steps) {
            trace(`${Math.round(world.now())} ms: ${JSON.stringify(step)}`);
            await (handlers[step.kind] as (world: World, step: Step) => unknown)(world, step);
            await clock.tickAsync(0);
        }
        world.claims.setLogState("up");
        await clock.tickAsync(SETTLE_MILLISECONDS);
        check(world);
        world.dispatchers.forEach(dispatcher => dispatcher.close());
    }
    finally {
        clock.uninstall();
    }
});

function createWorld(clock: Clock, trace: Trace): World {
    const state = { paused: 0 };
    const now = (): number => clock.now + state.paused;
    const plans = new Map<string, RequestPlan>();
    const targets = createFakeTargets(id => plans.get(id) as RequestPlan, now, trace);
    const claims = createFakeClaims(trace);
    const all = ["group-0", "group-1"].map(name => createGroup(name, "http://127.0.0.1:1"));
    const groups = createGroups(all);
    const tableOf = (draining: boolean) =>
        createTable([
            ...baseRows("http://127.0.0.1:2"),
            ...(draining ? [{ kind: "target", name: "fees", state: "draining" }] : []),
        ]);
    const table = createPublished(tableOf(false));
    const { engines, services } = targets;
    const dispatchers = ["daemon-0", "daemon-1"].map(daemon =>
        createDispatcher({
            ...createOptions({
                engines,
                services,
                groups,
                claims: claims.forDaemon(daemon),
                table: table.current(),
                now,
            }),
            table,
        })
    );
    return {
        clock,
        now,
        pause: milliseconds => {
            state.paused += milliseconds;
        },
        dispatchers,
        targets,
        claims,
        setGroup: (group, dispatchable) => {
            const others = groups.list.filter(({ group: name }) => name !== `group-${group}`);
            groups.list = dispatchable ? [...others, all[group]!] : others;
        },
        setDraining: draining => table.publish(tableOf(draining)),
        plans,
        callers: [],
        trace,
    };
}

function submit(world: World, step: SubmitStep): void {
    const { callers, now, plans, dispatchers, trace } = world;
    const id = `daemon-${step.daemon}-r${callers.length}`;
    const marker = step.key === undefined ? id : `key ${step.key} body ${step.body}`;
    const deadlineAt = now() + step.deadlineMilliseconds;
    plans.set(id, {
        behaviours: [...step.behaviours],
        connectMilliseconds: step.connectMilliseconds,
        deadlineAt,
    });
    const caller = createCaller(id, marker, step, trace);
    callers.push(caller);
    const dispatcher = dispatchers[step.daemon] as Dispatcher;
    caller.track(dispatcher.submit(requestOf(step, id, marker, now(), deadlineAt), caller.sink));
}

function requestOf(
    step: SubmitStep,
    id: string,
    marker: string,
    receivedAt: number,
    deadlineAt: number,
): DispatchRequest {
    const table = createTable(baseRows("http://127.0.0.1:2"));
    const common = {
        id,
        team: table.team("legal")!,
        priority: 5,
        receivedAt,
        deadlineAt,
        ...(step.key === undefined ? {} : { idempotencyKey: `key-${step.key}` }),
    };
    if (step.route === "whole" || step.route === "stream") {
        return {
            ...common,
            kind: "chat",
            model: "notes",
            stream: step.route === "stream",
            body: { marker },
            rawBody: Buffer.from(marker),
        };
    }
    return {
        ...common,
        kind: "service",
        service: table.service("fees")!,
        method: "POST",
        path: step.route === "once" ? "/receipts" : "/search",
        headers: {},
        body: Buffer.from(marker),
        repeatable: step.route === "repeatable",
    };
}

function check({ callers, claims, targets }: World): void {
    const executed = new Set(targets.executions.map(({ requestId }) => requestId));
    callers.forEach(caller => {
        assert(caller.hasEnded(), `${caller.id} has not ended`);
        checkAnswer(caller);
        const final = caller.finalAnswers[0];
        if (final?.outcome === "not-run") {
            assert(!executed.has(caller.id), `${caller.id} got not-run (${final.code}), but was executed`);
        }
    });
    const once = callers.filter(({ step }) => step.route === "once");
    groupByKey(once).forEach((members, key) => {
        const ids = members.map(({ id }) => id);
        const runs = targets.executions.filter(({ requestId }) => ids.includes(requestId)).length;
        assert(runs <= 1, `${key} was executed ${runs} times`);
    });
    assert.deepEqual(claims.openClaims(), [], "claims were neither released nor completed");
    assert.deepEqual(targets.lateAttempts, [], "attempts were written after the deadline of their request");
}

function groupByKey(callers: readonly Caller[]): ReadonlyMap<string, Caller[]> {
    return callers.reduce((groups, caller) => {
        const key = caller.step.key === undefined ? caller.id : `key ${caller.step.key}`;
        return groups.set(key, [...groups.get(key) ?? [], caller]);
    }, new Map<string, Caller[]>());
}

function checkAnswer({ id, marker, finalAnswers, chunks, step }: Caller): void {
    assert.equal(finalAnswers.length, 1, `${id} got ${finalAnswers.length} final answers`);
    const [final] = finalAnswers;
    const expected = [...Array(STREAM_EVENTS).keys()].map(index =>
        JSON.stringify({ text: `answer ${marker} ${index}` })
    );
    assert.deepEqual(
        chunks,
        expected.slice(0, chunks.length),
        `${id} got events of another request or out of order`,
    );
    if (final?.kind === "done") {
        assert.equal(chunks.length, STREAM_EVENTS, `${id} got the end marker after ${chunks.length} events`);
    }
    if (final?.kind === "whole") {
        const text = step.route === "whole" ? JSON.stringify({ text: `answer ${marker}` }) : `answer ${marker}`;
        assert(
            final.body === text || final.body?.includes("not retained"),
            `${id} got the answer of another request: ${final.body}`,
        );
    }
    if (final?.kind === "fail" && final.code !== undefined) {
        const { retryAfter } = errorCodes[final.code];
        assert(!retryAfter || (final.retryAfterMilliseconds ?? 0) > 0, `${id} got ${final.code} without Retry-After`);
        assert(chunks.length === 0 || final.code === "stream_incomplete", `${id} got ${final.code} within a stream`);
    }
}
