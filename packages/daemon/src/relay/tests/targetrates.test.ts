/** Every way in which a request reaches a target keeps to the rate that the target states. */
import { expect } from "chai";
import { createPlainRelay } from "../plainrelay.js";
import { createStreamRelay } from "../streamrelay.js";
import { createRelayFixture, type RelayFixture, type RelayFixtureOptions, responseHeads } from "./fixture.js";

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

const cases: readonly {
    readonly guards: string;
    readonly addresses: readonly string[];
    readonly run: () => RelayFixture;
}[] = [
    {
        guards: "a plain request to a limited target while another one is free",
        addresses: ["b:1"],
        run: () => startPlain({ limitedTargets: ["a"] }),
    },
    {
        guards: "a plain request beyond the limits",
        addresses: [],
        run: () => startPlain({ limitedTargets: ["a", "b"] }),
    },
    {
        guards: "a retry of a plain request",
        addresses: ["a:1"],
        run: () => {
            const fixture = startPlain({ limitedTargets: ["b"] });
            fixture.sends[0]?.receiver.sent();
            fixture.sends[0]?.receiver.failed(new Error("reset"));
            return fixture;
        },
    },
    { guards: "a stream beyond the limits", addresses: [], run: () => startStream({ limitedTargets: ["a", "b"] }) },
    {
        guards: "a stream that is resumed",
        addresses: ["a:1"],
        run: () => {
            const fixture = startStream({ limitedTargets: ["b"] });
            breakAfterOneEvent(fixture);
            return fixture;
        },
    },
    {
        guards: "a stream that is moved",
        addresses: ["a:1"],
        run: () => {
            const fixture = startStream({ limitedTargets: ["b"] });
            fixture.move();
            return fixture;
        },
    },
];

const statements: readonly { readonly name: string; readonly respond: (fixture: RelayFixture) => void; }[] = [
    {
        name: "a success",
        respond: ({ sends }) => {
            sends[0]?.receiver.sent();
            sends[0]?.receiver.head(responseHeads.limited);
        },
    },
    {
        name: "a refusal",
        respond: ({ sends }) => {
            sends[0]?.receiver.sent();
            sends[0]?.receiver.head({
                ...responseHeads.notRun,
                headers: { ...responseHeads.notRun.headers, rate: "0.1" },
            });
        },
    },
    {
        name: "an error",
        respond: ({ sends }) => {
            sends[0]?.receiver.sent();
            sends[0]?.receiver.head({
                ...responseHeads.error,
                headers: { ...responseHeads.error.headers, rate: "0.1" },
            });
        },
    },
];

const isLimited = ({ parts }: RelayFixture, id: string): boolean => {
    const target = parts.state.targetById(id);
    return target !== undefined && parts.targetRates.waitMilliseconds(target) > 0;
};

describe("the rate that a target states", () => {
    cases.forEach(({ guards, addresses, run }) => {
        it(`is not exceeded by ${guards}`, () => {
            const { sends } = run();
            expect(sends.map(({ address }) => address)).to.deep.equal(addresses);
        });
    });

    [startPlain, startStream].forEach(start =>
        statements.forEach(({ name, respond }) => {
            it(`is read from ${name} by ${start.name}`, () => {
                const fixture = start({ targets: ["a"] });
                respond(fixture);
                expect(isLimited(fixture, "a")).to.equal(true);
            });
        })
    );

    it("is not taken from another process at the address of the target", () => {
        const fixture = startStream({ targets: ["a"] });
        fixture.sends[0]?.receiver.sent();
        fixture.sends[0]?.receiver.head({
            ...responseHeads.misdirected,
            headers: { ...responseHeads.misdirected.headers, rate: "1" },
        });
        expect(isLimited(fixture, "a")).to.equal(false);
    });

    [startPlain, startStream].forEach(start => {
        it(`refuses at once with the time of the next request if no target takes one, by ${start.name}`, () => {
            const { caller } = start({ limitedTargets: ["a", "b"] });
            expect([caller.status, caller.headers.slice(0, 2)]).to.deep.equal([503, ["Retry-After", "10.000"]]);
            expect(JSON.parse(caller.body)).to.deep.equal({ error: { code: "limited" } });
        });
    });
});
