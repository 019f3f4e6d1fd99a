/** A request that this daemon cannot bring to a target is handed over once, and its caller gets one truthful response. */
import { expect } from "chai";
import type { DaemonPresence } from "../../ports/presence.js";
import { createHandOver } from "../handover.js";
import { createPlainRelay } from "../plainrelay.js";
import { createStreamRelay } from "../streamrelay.js";
import {
    createRelayFixture,
    type FakeSend,
    reachesTargets,
    type RelayFixture,
    type RelayFixtureOptions,
    responseHeads,
} from "./fixture.js";

const DAEMONS: readonly DaemonPresence[] = [
    { daemon: "d1", ip: "10.0.0.1", dataCentre: "a" },
    { daemon: "d2", ip: "10.0.0.2", dataCentre: "a" },
    { daemon: "d3", ip: "10.0.0.3", dataCentre: "a" },
];
const PORT = 7_340;
const lost = (): Error => Object.assign(new Error("lost"), { code: "ECONNRESET" });

function handOver(
    kind: RelayFixtureOptions["kind"],
    mayHaveRun = false,
): RelayFixture & { readonly ends: () => number; } {
    const fixture = createRelayFixture({ kind });
    let ends = 0;
    createHandOver(fixture.context, fixture.parts, {
        connections: fixture.parts.connections,
        port: PORT,
        mayHaveRun,
        choose: excluded => DAEMONS.find(({ daemon }) => !excluded.includes(daemon)),
    }, () => {
        ends += 1;
    }).start();
    return { ...fixture, ends: () => ends };
}

const steps: Readonly<
    Record<"answer" | "not run" | "refuse" | "lose" | "cut" | "leave", (fixture: RelayFixture) => void>
> = {
    answer: ({ sends }) => {
        const { receiver } = sends.at(-1) as FakeSend;
        receiver.sent();
        receiver.head(responseHeads.stream);
        receiver.data(Buffer.from("whole"));
        receiver.ended();
    },
    "not run": ({ sends }) => {
        const { receiver } = sends.at(-1) as FakeSend;
        receiver.sent();
        receiver.head(responseHeads.silent503);
        receiver.data(Buffer.from("refused"));
        receiver.ended();
    },
    refuse: ({ sends }) => sends.at(-1)?.receiver.failed(lost()),
    lose: ({ sends }) => {
        sends.at(-1)?.receiver.sent();
        sends.at(-1)?.receiver.failed(lost());
    },
    cut: ({ sends }) => {
        sends.at(-1)?.receiver.sent();
        sends.at(-1)?.receiver.head(responseHeads.stream);
        sends.at(-1)?.receiver.failed(lost());
    },
    leave: ({ caller }) => caller.leave(),
};

const cases: readonly {
    readonly guards: string;
    readonly kind: RelayFixtureOptions["kind"];
    readonly mayHaveRun?: boolean;
    readonly steps: readonly (keyof typeof steps)[];
    readonly sends: number;
    readonly status?: number;
    readonly destroyed?: boolean;
    readonly cancelled?: boolean;
}[] = [
    { guards: "a response is lost on its way back", kind: "once", steps: ["answer"], sends: 1, status: 200 },
    {
        guards: "a daemon that accepts no connection ends the request",
        kind: "once",
        steps: ["refuse", "answer"],
        sends: 2,
        status: 200,
    },
    { guards: "a request wanders through the fleet", kind: "once", steps: ["refuse", "refuse"], sends: 2, status: 503 },
    { guards: "a hand-over of unknown fate is made again", kind: "once", steps: ["lose"], sends: 1, status: 502 },
    { guards: "a refusal is lost on its way back", kind: "once", steps: ["not run"], sends: 1, status: 503 },
    {
        guards: "a request that ran here is said not to have run because the other daemon refuses it",
        kind: "repeatable",
        mayHaveRun: true,
        steps: ["not run"],
        sends: 1,
        status: 502,
        cancelled: true,
    },
    {
        guards: "a response that was cut off looks whole",
        kind: "stream",
        steps: ["cut"],
        sends: 1,
        status: 200,
        destroyed: true,
    },
    {
        guards: "a request goes on after its caller has left",
        kind: "stream",
        steps: ["leave"],
        sends: 1,
        cancelled: true,
    },
];

describe("a request that is handed to another daemon", () => {
    cases.forEach(({ guards, kind, mayHaveRun, steps: taken, sends, status, destroyed = false, cancelled = false }) =>
        it(`prevents that ${guards}`, () => {
            const fixture = handOver(kind, mayHaveRun);
            taken.forEach(step => steps[step](fixture));
            expect(fixture.sends.map(({ address }) => address))
                .to.deep.equal(DAEMONS.slice(0, sends).map(({ ip }) => `${ip}:${PORT}`));
            expect(fixture.caller.status).to.equal(status);
            expect(fixture.caller.destroyed).to.equal(destroyed);
            expect(fixture.sends[0]?.cancelled).to.equal(cancelled);
            expect(fixture.ends()).to.equal(1);
        })
    );
});

const lastResortCases: readonly {
    readonly guards: string;
    readonly options: Partial<RelayFixtureOptions> & Pick<RelayFixtureOptions, "kind">;
    readonly run: (fixture: RelayFixture) => void;
    readonly handOvers: number;
}[] = [
    {
        guards: "a request is refused because no target accepts a connection of this daemon",
        options: { kind: "once" },
        run: ({ sends }) => [0, 1].forEach(index => sends[index]?.receiver.failed(lost())),
        handOvers: 1,
    },
    {
        guards: "a request that may have run and must not run twice is handed over",
        options: { kind: "once" },
        run: ({ sends }) => {
            sends[0]?.receiver.sent();
            sends[0]?.receiver.failed(lost());
        },
        handOvers: 0,
    },
    {
        guards: "a repeatable request fails because all connections were reset",
        options: { kind: "repeatable", reachability: { ...reachesTargets, isCutOff: () => true } },
        run: ({ sends }) =>
            [0, 1].forEach(index => {
                sends[index]?.receiver.sent();
                sends[index]?.receiver.failed(lost());
            }),
        handOvers: 1,
    },
    {
        guards: "a request that ran is sent once more although only its own connections were reset",
        options: { kind: "repeatable" },
        run: ({ sends }) =>
            [0, 1].forEach(index => {
                sends[index]?.receiver.sent();
                sends[index]?.receiver.failed(lost());
            }),
        handOvers: 0,
    },
    {
        guards: "a request that ran is sent once more beyond the retry budget",
        options: { kind: "repeatable", retries: 1, reachability: { ...reachesTargets, isCutOff: () => true } },
        run: ({ sends }) =>
            [0, 1].forEach(index => {
                sends[index]?.receiver.sent();
                sends[index]?.receiver.failed(lost());
            }),
        handOvers: 0,
    },
    {
        guards: "a request that full targets refused is handed over",
        options: { kind: "once" },
        run: ({ sends }) =>
            [0, 1].forEach(index => {
                sends[index]?.receiver.sent();
                sends[index]?.receiver.head(responseHeads.notRun);
                sends[index]?.receiver.ended();
            }),
        handOvers: 0,
    },
    {
        guards: "a stream without a group is refused by a daemon that reaches no target",
        options: { kind: "stream", targets: [], reachability: { ...reachesTargets, isCutOff: () => true } },
        run: () => undefined,
        handOvers: 1,
    },
    {
        guards: "a stream without any group is handed over although targets are reached",
        options: { kind: "stream", targets: [] },
        run: () => undefined,
        handOvers: 0,
    },
];

describe("the last resort of a request", () => {
    lastResortCases.forEach(({ guards, options, run, handOvers }) =>
        it(`prevents that ${guards}`, () => {
            let count = 0;
            const take = (): boolean => {
                count += 1;
                return true;
            };
            const fixture = createRelayFixture({ ...options, handOver: take });
            const create = options.kind === "stream" ? createStreamRelay : createPlainRelay;
            create(fixture.context, fixture.parts, () => undefined).start();
            run(fixture);
            expect(count).to.equal(handOvers);
            expect(fixture.caller.status === undefined).to.equal(handOvers === 1);
        })
    );
});
