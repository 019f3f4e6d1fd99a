/** What the relay of plain requests does with a request on which targets crash. */
import { expect } from "chai";
import { createPlainRelay } from "../plainrelay.js";
import {
    createRelayFixture,
    type FakeSend,
    quarantinePart,
    reachesTargets,
    type RelayFixture,
    responseHeads,
} from "./fixture.js";

const IDENTITY = "request-ab12";
const reset = (): Error => Object.assign(new Error("reset"), { code: "ECONNRESET" });

function start(
    kind: "repeatable" | "once",
    before: (fixture: RelayFixture) => void = () => undefined,
): RelayFixture {
    const fixture = createRelayFixture({ kind, identity: IDENTITY, targets: ["a", "b", "c"], maximumAttempts: 3 });
    before(fixture);
    createPlainRelay(fixture.context, fixture.parts, () => undefined).start();
    return fixture;
}

const crashEvents = ({ events }: RelayFixture): number => events.filter(({ name }) => name === "targetCrashed").length;

function crash(send: FakeSend | undefined): void {
    send?.receiver.sent();
    send?.receiver.failed(reset());
}

const cases: readonly {
    readonly guards: string;
    readonly run: () => RelayFixture;
    readonly sends: number;
    readonly status?: number;
    readonly crashes: number;
}[] = [
    {
        guards: "a quarantined request reaches a target",
        run: () => start("repeatable", ({ parts }) => quarantinePart(parts.requestQuarantine, { part: IDENTITY })),
        sends: 0,
        status: 503,
        crashes: 0,
    },
    {
        guards: "the lost connection of a plain target goes unnoticed",
        run: () => {
            const fixture = start("once");
            crash(fixture.sends[0]);
            return fixture;
        },
        sends: 1,
        status: 502,
        crashes: 1,
    },
    {
        guards: "a retry carries the request to the next target",
        run: () => {
            const fixture = start("repeatable");
            fixture.sends[0]?.receiver.sent();
            quarantinePart(fixture.parts.requestQuarantine, { part: IDENTITY });
            fixture.sends[0]?.receiver.failed(reset());
            return fixture;
        },
        sends: 1,
        status: 502,
        crashes: 1,
    },
    {
        guards: "a daemon that reaches no target takes its lost connections for crashes",
        run: () => {
            const reachability = { ...reachesTargets, isCutOff: () => true };
            const fixture = createRelayFixture({ kind: "once", identity: IDENTITY, reachability });
            createPlainRelay(fixture.context, fixture.parts, () => undefined).start();
            crash(fixture.sends[0]);
            return fixture;
        },
        sends: 1,
        status: 502,
        crashes: 0,
    },
    {
        guards: "a request whose caller has left crashes its target unnoticed",
        run: () => {
            const fixture = start("once");
            fixture.sends[0]?.receiver.sent();
            fixture.caller.leave();
            fixture.sends[0]?.receiver.failed(reset());
            return fixture;
        },
        sends: 1,
        crashes: 1,
    },
    {
        guards: "a target that states that it has not run the request proves it sound",
        run: () => {
            const fixture = start("once", ({ parts }) => quarantinePart(parts.requestQuarantine, { part: "other" }));
            fixture.sends[0]?.receiver.sent();
            fixture.sends[0]?.receiver.head(responseHeads.notRun);
            fixture.sends[0]?.receiver.ended();
            crash(fixture.sends[1]);
            return fixture;
        },
        sends: 2,
        status: 502,
        crashes: 1,
    },
];

describe("a plain request on which targets crash", () => {
    cases.forEach(({ guards, run, sends, status, crashes }) =>
        it(`prevents that ${guards}`, () => {
            const fixture = run();
            expect(fixture.sends.length).to.equal(sends);
            expect(fixture.caller.status).to.equal(status);
            expect(crashEvents(fixture)).to.equal(crashes);
        })
    );
});
