/** Every way in which a request reaches a target keeps to what the target states: its rate, its rests, and that it leaves. */
import { expect } from "chai";
import type { ResponseHead } from "../../ports/relayprotocol.js";
import { createPlainRelay } from "../plainrelay.js";
import { createStreamRelay } from "../streamrelay.js";
import {
    createRelayFixture,
    noStatements,
    type RelayFixture,
    type RelayFixtureOptions,
    responseHeads,
} from "./fixture.js";

const event = (id: number): Buffer => Buffer.from(`id: ${id}\ndata: ${id}\n\n`);

function startPlain(options: Partial<RelayFixtureOptions>): RelayFixture {
    const fixture = createRelayFixture({ kind: "repeatable", ...options });
    createPlainRelay(fixture.context, fixture.parts, () => undefined).start();
    return fixture;
}

function startStream(options: Partial<RelayFixtureOptions>): RelayFixture & { move(): void; } {
    const fixture = createRelayFixture({ kind: "stream", resumable: true, ...options });
    const relay = createStreamRelay(fixture.context, fixture.parts, () => undefined);
    relay.start();
    return { ...fixture, move: () => relay.moveToAnotherGroup() };
}

const breakAfterOneEvent = ({ sends }: RelayFixture): void => {
    sends[0]?.receiver.sent();
    sends[0]?.receiver.head(responseHeads.stream);
    sends[0]?.receiver.data(event(1));
    sends[0]?.receiver.failed(new Error("reset"));
};

const withHeaders = (head: ResponseHead, headers: ResponseHead["headers"]): ResponseHead => ({
    ...head,
    headers: { ...head.headers, ...headers },
});

/** Options by which targets take no requests for a while. */
const waiting: readonly {
    readonly statement: string;
    readonly of: (...targets: string[]) => Partial<RelayFixtureOptions>;
}[] = [
    { statement: "limited", of: (...limitedTargets) => ({ limitedTargets }) },
    { statement: "resting", of: (...restingTargets) => ({ restingTargets }) },
];
/** Options by which targets take no requests. */
const unavailable: typeof waiting = [
    ...waiting,
    { statement: "leaving", of: (...leavingTargets) => ({ leavingTargets }) },
];

const cases: readonly {
    readonly guards: string;
    readonly addresses: readonly string[];
    readonly run: (of: (...targets: string[]) => Partial<RelayFixtureOptions>) => RelayFixture;
}[] = [
    {
        guards: "a plain request while another one is free",
        addresses: ["b:1"],
        run: of => startPlain(of("a")),
    },
    {
        guards: "a plain request if there is no other one",
        addresses: [],
        run: of => startPlain(of("a", "b")),
    },
    {
        guards: "a retry of a plain request",
        addresses: ["a:1"],
        run: of => {
            const fixture = startPlain(of("b"));
            fixture.sends[0]?.receiver.sent();
            fixture.sends[0]?.receiver.failed(new Error("reset"));
            return fixture;
        },
    },
    { guards: "a stream if there is no other one", addresses: [], run: of => startStream(of("a", "b")) },
    {
        guards: "a stream that is resumed",
        addresses: ["a:1"],
        run: of => {
            const fixture = startStream(of("b"));
            breakAfterOneEvent(fixture);
            return fixture;
        },
    },
    {
        guards: "a stream that is moved",
        addresses: ["a:1"],
        run: of => {
            const fixture = startStream(of("b"));
            fixture.move();
            return fixture;
        },
    },
];

const statements: readonly { readonly name: string; readonly head: ResponseHead; }[] = [
    { name: "the rate of a success", head: responseHeads.limited },
    { name: "the rate of a refusal", head: withHeaders(responseHeads.notRun, { rate: "0.1" }) },
    { name: "the rate of an error", head: withHeaders(responseHeads.error, { rate: "0.1" }) },
    { name: "the rest of a refusal", head: withHeaders(responseHeads.notRun, { rest: "5000" }) },
    { name: "the rest of a refusal that may have run", head: withHeaders(responseHeads.silent503, { rest: "5000" }) },
];

const waitOf = ({ parts }: RelayFixture, id: string): number => {
    const target = parts.state.targetById(id);
    return target === undefined ? Number.NaN : parts.availability.waitMilliseconds(target);
};

describe("what a target states of itself", () => {
    unavailable.forEach(({ statement, of }) =>
        cases.forEach(({ guards, addresses, run }) => {
            it(`keeps ${guards} from a ${statement} target`, () => {
                const { sends } = run(of);
                expect(sends.map(({ address }) => address)).to.deep.equal(addresses);
            });
        })
    );

    [startPlain, startStream].forEach(start =>
        statements.forEach(({ name, head }) => {
            it(`is read by ${start.name}: ${name}`, () => {
                const fixture = start({ targets: ["a"] });
                fixture.sends[0]?.receiver.sent();
                fixture.sends[0]?.receiver.head(head);
                expect(waitOf(fixture, "a")).to.be.above(0);
            });
        })
    );

    it("is not taken from another process at the address of the target", () => {
        const fixture = startStream({ targets: ["a"] });
        fixture.sends[0]?.receiver.sent();
        fixture.sends[0]?.receiver.head(withHeaders(responseHeads.misdirected, { rate: "1", rest: "5000" }));
        expect(waitOf(fixture, "a")).to.equal(0);
    });

    [startPlain, startStream].forEach(start =>
        waiting.forEach(({ statement, of }) => {
            it(`refuses at once with the time of the next request if all targets are ${statement}, by ${start.name}`, () => {
                const { caller } = start(of("a", "b"));
                expect([caller.status, caller.headers[0]]).to.deep.equal([503, "Retry-After"]);
                expect(Number(caller.headers[1])).to.be.within(9.9, 10);
                expect(JSON.parse(caller.body)).to.deep.equal({ error: { code: "limited" } });
            });
        })
    );

    [startPlain, startStream].forEach(start =>
        [1, 2].forEach(maximumAttempts => {
            it(`tells the end of the rest of the only target that turned a request away, by ${start.name} with ${maximumAttempts} attempts`, () => {
                const { caller, sends } = start({ targets: ["a"], maximumAttempts });
                sends[0]?.receiver.sent();
                sends[0]?.receiver.head(withHeaders(responseHeads.notRun, { rest: "5000" }));
                sends[0]?.receiver.ended();
                expect([sends.length, caller.status, caller.headers[0]]).to.deep.equal([1, 503, "Retry-After"]);
                expect(Number(caller.headers[1])).to.be.within(4.9, 5);
            });
        })
    );

    [startPlain, startStream].forEach(start =>
        [responseHeads.ok, responseHeads.notRun, responseHeads.error, responseHeads.silent503].forEach(head => {
            it(`that it leaves is read by ${start.name} from ${JSON.stringify(head)}`, () => {
                const fixture = start({ targets: ["a"] });
                fixture.sends[0]?.receiver.sent();
                fixture.sends[0]?.receiver.head(withHeaders(head, { leaving: "1" }));
                expect(fixture.parts.state.targetById("a")?.draining).to.equal(true);
                expect(fixture.parts.availability.leaving().map(({ target }) => target)).to.deep.equal(["a"]);
            });
        })
    );

    it("that it leaves is not taken from another process at its address", () => {
        const fixture = startStream({ targets: ["a"] });
        fixture.sends[0]?.receiver.sent();
        fixture.sends[0]?.receiver.head(withHeaders(responseHeads.misdirected, { leaving: "1" }));
        expect(fixture.parts.state.targetById("a")?.draining).to.equal(false);
    });

    it("that it leaves ends no stream in progress there", () => {
        const { sends, caller } = startStream({ targets: ["a"] });
        sends[0]?.receiver.sent();
        sends[0]?.receiver.head(withHeaders(responseHeads.stream, { leaving: "1" }));
        [1, 2].forEach(id => sends[0]?.receiver.data(event(id)));
        sends[0]?.receiver.ended();
        expect([caller.status, caller.body, caller.ended]).to.deep.equal([200, `${event(1)}${event(2)}`, true]);
        expect(caller.headers).to.include("leaving");
    });

    it("that it leaves keeps no answer that is ready from its caller", () => {
        const { sends, caller } = startPlain({ targets: ["a"] });
        sends[0]?.receiver.sent();
        sends[0]?.receiver.head(withHeaders(responseHeads.ok, { leaving: "1" }));
        sends[0]?.receiver.data(Buffer.from("done"));
        sends[0]?.receiver.ended();
        expect([caller.status, caller.body, caller.ended]).to.deep.equal([200, "done", true]);
    });

    it("that it leaves is logged and announced once, with its source", () => {
        const fixture = startPlain({ targets: ["a", "b"] });
        const { availability, clock } = fixture.parts;
        let announced = 0;
        availability.onChange(() => {
            announced += 1;
        });
        const leave = (id: string): void =>
            availability.recordResponse({ target: { id }, sentAt: 0 }, {
                status: 200,
                statements: { ...noStatements, leaving: true },
            });
        ["a", "a"].forEach(leave);
        availability.mergeLeaving({ target: "b", statedAt: clock.monotonic() }, "daemon-1");
        leave("b");
        const logged = fixture.events.filter(({ name }) => name === "targetLeaving")
            .map(({ fields: { target, learnedFrom, daemon, status } }) => [target, learnedFrom, daemon, status]);
        expect(logged).to.deep.equal([["a", "response", undefined, 200], ["b", "daemon", "daemon-1", undefined]]);
        expect(announced).to.equal(1);
    });

    const told: readonly { readonly guards: string; readonly startedAt?: number; readonly ageMilliseconds: number; }[] =
        [
            { guards: "another process than the one that another daemon heard", startedAt: 7, ageMilliseconds: 0 },
            {
                guards: "a process of unknown start that may have replaced the one heard long ago",
                ageMilliseconds: 4_000,
            },
        ];
    told.forEach(({ guards, startedAt, ageMilliseconds }) => {
        it(`is not held against ${guards}`, () => {
            const { parts: { availability, clock, state } } = startPlain({ targets: ["a"] });
            availability.mergeLeaving(
                { target: "a", startedAt, statedAt: clock.monotonic() - ageMilliseconds },
                "daemon-1",
            );
            expect([state.targetById("a")?.draining, availability.leaving()]).to.deep.equal([false, []]);
        });
    });

    it("logs a rest once, with its process", () => {
        const fixture = startPlain({ targets: ["a"] });
        const target = { id: "a", startedAt: 7 };
        const respond = (milliseconds: number): void =>
            fixture.parts.availability.recordResponse({ target, sentAt: 0 }, {
                status: 503,
                statements: { ...noStatements, rest: { kind: "resting", milliseconds } },
            });
        [5_000, 6_000, 9e9].forEach(respond);
        const logged = fixture.events.filter(({ name }) => name === "targetResting").map(({ fields }) => fields);
        expect(logged).to.deep.equal([
            { target: "a", startedAt: 7, statedMilliseconds: 5_000, milliseconds: 5_000, status: 503 },
        ]);
        expect(fixture.parts.availability.restingTargets()).to.equal(1);
    });

    it("logs an unreadable rest once, counts each, and goes on sending", () => {
        const fixture = startPlain({ targets: ["a"] });
        const { availability } = fixture.parts;
        ["soon", "soon", "-1"].forEach(text =>
            availability.recordResponse({ target: { id: "a" }, sentAt: 0 }, {
                status: 503,
                statements: { ...noStatements, rest: { kind: "unreadable", text } },
            })
        );
        const logged = fixture.events.filter(({ name }) => name === "targetRestUnreadable").map(({ fields }) => fields);
        expect(logged).to.deep.equal([{ target: "a", text: "soon" }, { target: "a", text: "-1" }]);
        expect([availability.unreadableStatements(), waitOf(fixture, "a")]).to.deep.equal([3, 0]);
    });
});
