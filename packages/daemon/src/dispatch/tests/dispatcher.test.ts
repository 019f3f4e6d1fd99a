import { install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { Err, Ok } from "ts-results";
import type { EngineClient } from "../../ports/engine.js";
import type { ServiceClient } from "../../ports/service.js";
import { createPublished } from "../../tasks/published.js";
import { createDispatcher } from "../dispatcher.js";
import type { DispatcherOptions } from "../options.js";
import type { CallerError, ChatRequest, ServiceCallRequest } from "../types.js";
import { baseRows, createClaims, createGroup, createGroups, createOptions, createTable } from "./fakes.js";

const table = createTable([
    ...baseRows("http://127.0.0.1:1"),
    { kind: "rule", name: "narrow", model: "notes", team: "legal", target: "slow-a", concurrency: 1 },
]);
const noEngines = {} as EngineClient;

function createWorld(change: Partial<DispatcherOptions> = {}) {
    const clock = install({ toFake: ["setTimeout", "clearTimeout"] });
    const state = { paused: 0 };
    const written: string[] = [];
    const connecting: { before: () => Promise<void>; } = { before: () => Promise.resolve() };
    const services: ServiceClient = {
        call: async request => {
            await connecting.before();
            if (request.signal.aborted || !request.mayWrite!()) {
                return Err({ kind: "not-sent", message: "not sent" });
            }
            written.push(request.attemptId);
            return Ok({ status: 200, headers: {}, body: Buffer.from("done") });
        },
    };
    const now = (): number => clock.now + state.paused;
    const claims = createClaims();
    const groups = createGroups([createGroup("group-0", "http://127.0.0.1:2")]);
    const options = { ...createOptions({ engines: noEngines, services, groups, claims, table, now }), ...change };
    const dispatcher = createDispatcher(options);
    const answers: (CallerError | string)[] = [];
    const gone = new AbortController();
    const sink = {
        gone: gone.signal,
        respond: ({ body }: { body: Buffer; }) => void answers.push(body.toString()),
        chunk: () => undefined,
        done: () => void answers.push("done"),
        fail: (error: CallerError) => void answers.push(error),
    };
    const common = { team: table.team("legal")!, priority: 5, receivedAt: now(), deadlineAt: now() + 1_000 };
    const call: ServiceCallRequest = {
        ...common,
        id: "r1",
        kind: "service",
        service: table.service("fees")!,
        method: "POST",
        path: "/receipts",
        headers: {},
        body: Buffer.from(""),
        repeatable: false,
    };
    const chat: ChatRequest = {
        ...common,
        id: "r1",
        kind: "chat",
        model: "notes",
        stream: false,
        body: { messages: [] },
        rawBody: Buffer.from("{}"),
    };
    const pause = (milliseconds: number): void => {
        state.paused += milliseconds;
    };
    return { clock, pause, written, connecting, claims, groups, dispatcher, answers, gone, sink, call, chat };
}

describe("dispatcher", () => {
    let world: ReturnType<typeof createWorld>;
    beforeEach(() => {
        world = createWorld();
    });
    afterEach(() => {
        world.dispatcher.close();
        world.clock.uninstall();
    });

    const pauses: { guards: string; arrange: () => void; }[] = [
        {
            guards: "a daemon that was paused after its claim dispatches past the deadline",
            arrange: () => {
                world.claims.before = () => Promise.resolve(world.pause(5_000));
            },
        },
        {
            guards: "a daemon that was paused while it connected writes past the deadline",
            arrange: () => {
                world.connecting.before = () => Promise.resolve(world.pause(5_000));
            },
        },
        {
            guards: "a claim that is answered after the deadline is dispatched or kept",
            arrange: () => {
                world.claims.before = () => new Promise(resolve => setTimeout(resolve, 3_000));
            },
        },
        {
            guards: "a caller that left before dispatch has its request run",
            arrange: () => {
                world.connecting.before = () => Promise.resolve(world.gone.abort());
            },
        },
    ];
    pauses.forEach(({ guards, arrange }) => {
        it(`does not fail like this: ${guards}`, async () => {
            arrange();
            const ended = world.dispatcher.submit(world.call, world.sink);
            await world.clock.tickAsync(4_000);
            await ended;

            expect(world.written).to.deep.equal([]);
            expect(world.claims.released).to.deep.equal(["claim-1"]);
            expect(world.answers).to.have.length(1);
            expect(world.answers[0]).to.deep.include({ code: "deadline_exceeded", outcome: "not-run" });
        });
    });

    it("looks at the table again right before a request to a service is written", async () => {
        const draining = createTable([
            ...baseRows("http://127.0.0.1:1"),
            { kind: "target", name: "fees", state: "draining" },
        ]);
        world.dispatcher.close();
        world.clock.uninstall();
        const published = createPublished(table);
        world = createWorld({ table: published });
        world.connecting.before = () => Promise.resolve(published.publish(draining));
        await world.dispatcher.submit(world.call, world.sink);

        expect(world.written).to.deep.equal([]);
        expect(world.answers[0]).to.deep.include({ outcome: "not-run" });
        expect(world.claims.released).to.deep.equal(["claim-1"]);
    });

    it("answers also when an answer cannot be written, because the caller would wait for ever", async () => {
        const sink = {
            ...world.sink,
            respond: () => {
                throw new Error("invalid header");
            },
        };
        await world.dispatcher.submit(world.call, sink);
        expect(world.answers).to.have.length(1);
        expect(world.answers[0]).to.deep.include({ code: "internal_error" });
    });

    it("refuses at once with a time to come back when no group is dispatchable", async () => {
        world.groups.list = [];
        await world.dispatcher.submit(world.chat, world.sink);

        expect(world.answers).to.have.length(1);
        expect(world.answers[0]).to.deep.include({ code: "no_ready_group", retryAfterMilliseconds: 2_000 });
        expect(world.dispatcher.explain("r1")).to.deep.include({ outcome: "not-run", code: "no_ready_group" });
    });

    it("keeps explanations in bounded memory", async () => {
        world.dispatcher.close();
        world.clock.uninstall();
        world = createWorld({ maximumExplanations: 2 });
        for (const id of ["r1", "r2", "r3"]) {
            await world.dispatcher.submit({ ...world.call, id, repeatable: true }, world.sink);
        }

        expect(world.dispatcher.explain("r1")).to.equal(undefined);
        const { attempts, outcome } = world.dispatcher.explain("r3")!;
        expect(outcome).to.equal("complete");
        expect(attempts.map(({ attemptId, result }) => [attemptId, result])).to.deep.equal([["r3-1", "complete"]]);
    });
});
