/** What the request path does with requests whose prompt has a part on which targets crash. */
import { expect } from "chai";
import { createStreamRelay, type StreamRelay } from "../streamrelay.js";
import {
    createRelayFixture,
    type FakeSend,
    quarantinePart,
    type RelayFixture,
    type RelayFixtureOptions,
    responseHeads,
} from "./fixture.js";

const event = (id: number): Buffer => Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
const errorWith = (code: string): Error => Object.assign(new Error(code), { code });

interface Scene extends RelayFixture {
    readonly relay: StreamRelay;
    readonly first: FakeSend;
}

function start(
    { ignoresUpdates = false, ...options }: Partial<RelayFixtureOptions> & { readonly ignoresUpdates?: boolean; } = {},
    before: (fixture: RelayFixture) => void = () => undefined,
): Scene {
    const fixture = createRelayFixture({ kind: "stream", resumable: true, promptParts: ["first", "bad"], ...options });
    before(fixture);
    const relay = createStreamRelay(fixture.context, fixture.parts, () => undefined);
    if (!ignoresUpdates) {
        fixture.parts.requestQuarantine.onQuarantined(part => relay.cancelIfWaiting(part));
    }
    relay.start();
    return { ...fixture, relay, first: fixture.sends[0] as FakeSend };
}

const fieldsOf = ({ events }: RelayFixture, name: string): Readonly<Record<string, unknown>> | undefined =>
    events.find(item => item.name === name)?.fields;

const cases: readonly {
    readonly guards: string;
    readonly sends: number;
    readonly status?: number;
    readonly outcome?: string;
    readonly cancelled?: boolean;
    readonly run: () => RelayFixture;
}[] = [
    {
        guards: "a quarantined request reaches a target",
        sends: 0,
        status: 503,
        outcome: "refused: quarantined",
        run: () => start({}, ({ parts }) => quarantinePart(parts.requestQuarantine)),
    },
    {
        guards: "a request with other parts is refused",
        sends: 1,
        run: () => start({ promptParts: ["first", "other"] }, ({ parts }) => quarantinePart(parts.requestQuarantine)),
    },
    {
        guards: "a retry carries the part to the next target",
        sends: 1,
        status: 502,
        outcome: "failed",
        run: () => {
            const scene = start({ ignoresUpdates: true });
            scene.first.receiver.sent();
            quarantinePart(scene.parts.requestQuarantine);
            scene.first.receiver.failed(errorWith("ECONNRESET"));
            return scene;
        },
    },
    {
        guards: "a retry after a refused connection is told that it may have run",
        sends: 1,
        status: 503,
        outcome: "refused: quarantined",
        run: () => {
            const scene = start({ ignoresUpdates: true });
            quarantinePart(scene.parts.requestQuarantine);
            scene.first.receiver.failed(errorWith("ECONNREFUSED"));
            return scene;
        },
    },
    {
        guards: "a stream whose target has sent a head and no event is left waiting, or ends as if it were whole",
        sends: 1,
        status: 502,
        outcome: "failed",
        cancelled: true,
        run: () => {
            const scene = start();
            scene.first.receiver.sent();
            scene.first.receiver.head(responseHeads.stream);
            quarantinePart(scene.parts.requestQuarantine);
            return scene;
        },
    },
    {
        guards: "a request that waits at a target goes on to crash it, or is told that it has not run",
        sends: 1,
        status: 502,
        outcome: "failed",
        cancelled: true,
        run: () => {
            const scene = start();
            scene.first.receiver.sent();
            quarantinePart(scene.parts.requestQuarantine);
            return scene;
        },
    },
    {
        guards: "a request that was never written is told that it may have run",
        sends: 1,
        status: 503,
        outcome: "refused: quarantined",
        cancelled: true,
        run: () => {
            const scene = start();
            quarantinePart(scene.parts.requestQuarantine);
            return scene;
        },
    },
    {
        guards: "a request that its target refused before is told that it may have run",
        sends: 2,
        status: 503,
        outcome: "refused: quarantined",
        run: () => {
            const scene = start();
            scene.first.receiver.sent();
            scene.first.receiver.head(responseHeads.notRun);
            quarantinePart(scene.parts.requestQuarantine);
            return scene;
        },
    },
    {
        guards: "a stream that has begun is cancelled",
        sends: 1,
        status: 200,
        cancelled: false,
        run: () => {
            const scene = start();
            scene.first.receiver.sent();
            scene.first.receiver.head(responseHeads.stream);
            scene.first.receiver.data(event(1));
            quarantinePart(scene.parts.requestQuarantine);
            return scene;
        },
    },
    {
        guards: "a stream is moved although its part is quarantined",
        sends: 1,
        status: 200,
        cancelled: false,
        run: () => {
            const scene = start();
            scene.first.receiver.sent();
            scene.first.receiver.head(responseHeads.stream);
            scene.first.receiver.data(event(1));
            quarantinePart(scene.parts.requestQuarantine);
            scene.relay.moveToAnotherGroup();
            return scene;
        },
    },
    {
        guards: "a begun stream that breaks is resumed although its part is quarantined",
        sends: 1,
        status: 200,
        outcome: "broken-off",
        run: () => {
            const scene = start();
            scene.first.receiver.sent();
            scene.first.receiver.head(responseHeads.stream);
            scene.first.receiver.data(event(1));
            quarantinePart(scene.parts.requestQuarantine);
            scene.first.receiver.failed(errorWith("ECONNRESET"));
            return scene;
        },
    },
    {
        guards: "a trial is cancelled when its part is stated again, or retried at another target",
        sends: 1,
        status: 502,
        outcome: "failed",
        cancelled: false,
        run: () => {
            const scene = start(
                {},
                ({ parts }) => quarantinePart(parts.requestQuarantine, { statedAt: performance.now() - 3_600_000 }),
            );
            quarantinePart(scene.parts.requestQuarantine, { revision: 9 });
            scene.first.receiver.sent();
            scene.first.receiver.failed(errorWith("ECONNRESET"));
            return scene;
        },
    },
];

describe("requests with a quarantined part", () => {
    cases.forEach(({ guards, sends, status, outcome, cancelled, run }) =>
        it(`prevents that ${guards}`, () => {
            const scene = run();
            const ended = fieldsOf(scene, "requestEnded");
            expect(scene.sends.length).to.equal(sends);
            expect(ended?.["outcome"]).to.equal(outcome);
            expect(scene.caller.status).to.equal(status);
            expect(scene.caller.destroyed).to.equal(outcome === "broken-off");
            if (cancelled !== undefined) {
                expect(scene.sends[0]?.cancelled).to.equal(cancelled);
            }
            if (status === 503) {
                const retryAfter = scene.caller.headers[scene.caller.headers.indexOf("Retry-After") + 1];
                expect(Number(retryAfter)).to.be.at.least(1);
                expect(ended?.["part"]).to.equal("bad");
            }
        })
    );

    it("counts a request that is refused at once neither as demand nor as sent", () => {
        let demands = 0;
        const scene = start({}, ({ parts }) => {
            const { demandOf } = parts;
            const countDemand: typeof demandOf = service => {
                demands += 1;
                return demandOf(service);
            };
            Object.assign(parts, { demandOf: countDemand });
            quarantinePart(parts.requestQuarantine);
        });
        expect(demands).to.equal(0);
        expect(fieldsOf(scene, "streamSent")).to.equal(undefined);
    });
});

const failures: readonly {
    readonly name: string;
    readonly isCrash: boolean;
    readonly fail: (scene: Scene) => void;
}[] = [
    { name: "a reset", isCrash: true, fail: ({ first }) => first.receiver.failed(errorWith("ECONNRESET")) },
    {
        name: "a refused connection",
        isCrash: true,
        fail: ({ first }) => first.receiver.failed(errorWith("ECONNREFUSED")),
    },
    {
        name: "the end of the connection before a whole event, without a marked end",
        isCrash: true,
        fail: ({ first }) => {
            first.receiver.head({ ...responseHeads.stream, delimited: false });
            first.receiver.ended();
        },
    },
    {
        name: "the marked end of an answer without events",
        isCrash: false,
        fail: ({ first }) => {
            first.receiver.head(responseHeads.stream);
            first.receiver.ended();
        },
    },
    { name: "a connect timeout", isCrash: false, fail: ({ first }) => first.receiver.failed(new Error("timeout")) },
    {
        name: "bytes that are no answer",
        isCrash: false,
        fail: ({ first }) => first.receiver.failed(errorWith("HPE_X")),
    },
    {
        name: "a statement that it has not run",
        isCrash: false,
        fail: ({ first }) => first.receiver.head(responseHeads.notRun),
    },
    { name: "another process", isCrash: false, fail: ({ first }) => first.receiver.head(responseHeads.misdirected) },
    { name: "an error answer", isCrash: false, fail: ({ first }) => first.receiver.head(responseHeads.error) },
    { name: "silence", isCrash: false, fail: ({ relay }) => relay.moveToAnotherGroup() },
    { name: "the caller's leaving", isCrash: false, fail: ({ caller }) => caller.leave() },
];

describe("a failed attempt", () => {
    failures.forEach(({ name, isCrash, fail }) =>
        it(`${isCrash ? "counts" : "does not count"} as a crash of its target after ${name}`, () => {
            const scene = start();
            scene.first.receiver.sent();
            fail(scene);
            expect(fieldsOf(scene, "targetCrashed")?.["parts"]).to.deep.equal(isCrash ? ["first", "bad"] : undefined);
        })
    );
});
