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

function createFixture(change: Partial<DispatcherOptions> = {}) {
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
    let fixture: ReturnType<typeof createFixture>;
    beforeEach(() => {
        fixture = createFixture();
    });
    afterEach(() => {
        fixture.dispatcher.close();
        fixture.clock.uninstall();
    });

    const cases: { condition: string; arrange: () => void; }[] = [
        {
            condition: "when the daemon is paused past the deadline while it claims",
            arrange: () => {
                fixture.claims.before = () => Promise.resolve(fixture.pause(5_000));
            },
        },
        {
            condition: "when the daemon is paused past the deadline while it connects",
            arrange: () => {
                fixture.connecting.before = () => Promise.resolve(fixture.pause(5_000));
            },
        },
        {
            condition: "when the claim is answered after the deadline",
            arrange: () => {
                fixture.claims.before = () => new Promise(resolve => setTimeout(resolve, 3_000));
            },
        },
        {
            condition: "when the caller disconnects before dispatch",
            arrange: () => {
                fixture.connecting.before = () => Promise.resolve(fixture.gone.abort());
            },
        },
    ];
    cases.forEach(({ condition, arrange }) => {
        it(`releases the claim and does not dispatch ${condition}`, async () => {
            arrange();
            const ended = fixture.dispatcher.submit(fixture.call, fixture.sink);
            await fixture.clock.tickAsync(4_000);
            await ended;

            expect(fixture.written).to.deep.equal([]);
            expect(fixture.claims.released).to.deep.equal(["claim-1"]);
            expect(fixture.answers).to.have.length(1);
            expect(fixture.answers[0]).to.deep.include({ code: "deadline_exceeded", outcome: "not-run" });
        });
    });

    it("reads the table again right before a request to a service is written", async () => {
        const draining = createTable([
            ...baseRows("http://127.0.0.1:1"),
            { kind: "target", name: "fees", state: "draining" },
        ]);
        fixture.dispatcher.close();
        fixture.clock.uninstall();
        const published = createPublished(table);
        fixture = createFixture({ table: published });
        fixture.connecting.before = () => Promise.resolve(published.publish(draining));
        await fixture.dispatcher.submit(fixture.call, fixture.sink);

        expect(fixture.written).to.deep.equal([]);
        expect(fixture.answers[0]).to.deep.include({ outcome: "not-run" });
        expect(fixture.claims.released).to.deep.equal(["claim-1"]);
    });

    it("returns an error if the response cannot be written, so that the caller does not wait forever", async () => {
        const sink = {
            ...fixture.sink,
            respond: () => {
                throw new Error("invalid header");
            },
        };
        await fixture.dispatcher.submit(fixture.call, sink);
        expect(fixture.answers).to.have.length(1);
        expect(fixture.answers[0]).to.deep.include({ code: "internal_error" });
    });

    it("refuses immediately with a retry time when no group is dispatchable", async () => {
        fixture.groups.list = [];
        await fixture.dispatcher.submit(fixture.chat, fixture.sink);

        expect(fixture.answers).to.have.length(1);
        expect(fixture.answers[0]).to.deep.include({ code: "no_ready_group", retryAfterMilliseconds: 2_000 });
        expect(fixture.dispatcher.explain("r1")).to.deep.include({ outcome: "not-run", code: "no_ready_group" });
    });

    it("keeps explanations in bounded memory", async () => {
        fixture.dispatcher.close();
        fixture.clock.uninstall();
        fixture = createFixture({ maximumExplanations: 2 });
        for (const id of ["r1", "r2", "r3"]) {
            await fixture.dispatcher.submit({ ...fixture.call, id, repeatable: true }, fixture.sink);
        }

        expect(fixture.dispatcher.explain("r1")).to.equal(undefined);
        const { attempts, outcome } = fixture.dispatcher.explain("r3")!;
        expect(outcome).to.equal("complete");
        expect(attempts.map(({ attemptId, result }) => [attemptId, result])).to.deep.equal([["r3-1", "complete"]]);
    });
});
