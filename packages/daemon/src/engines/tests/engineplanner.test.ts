/** The planner announces each group that starts to serve once, whatever services have engines. */
import type { EngineProfile, Target } from "@damaskvale/core";
import { createDemandMeter } from "@damaskvale/core";
import { type Clock as FakeClock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { createRelayState, type RelayState } from "../../relay/state.js";
import { type EnginePlanner, startEnginePlanner } from "../engineplanner.js";

const engine = {
    models: [{ name: "m", size: 1, share: 1, pace: 1, loadMilliseconds: 1_000, warmMilliseconds: 100 }],
    loadsPerSecond: 1,
} as unknown as EngineProfile;

const head = (service: string): Target => ({
    id: `head-of-${service}`,
    service,
    address: `10.0.0.1:${service.length}`,
    dataCentre: "x",
    draining: false,
    registered: true,
    slots: 1,
    startedAt: 1,
    domain: "d",
    model: "m",
    stagedModels: ["m"],
    busy: false,
    orderSequence: 1,
    membership: { group: `d~m~1.${service.length}`, epoch: service.length, rank: 0, state: "open" },
});

const stateOf = (services: readonly string[]): RelayState => {
    const state = createRelayState();
    state.applyConfiguration({
        version: 1,
        routes: [],
        services: services.map(name => ({ name, healthPath: "/", maximumConnections: 9, engine })),
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
    });
    state.replaceTargets(services.map(head));
    return state;
};

describe("engine planner", () => {
    let clock: FakeClock;
    let planner: EnginePlanner;
    let announced: string[];

    const start = (state: RelayState): void => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"] });
        announced = [];
        planner = startEnginePlanner({
            clock: { monotonic: () => performance.now(), wall: () => Date.now() },
            log: { emit: () => undefined },
            state,
            lease: {
                current: () => ({ fencingToken: 1, partitions: [0] }),
                invalidate: () => undefined,
                stop: () => Promise.resolve(),
            },
            partitionCount: 1,
            engines: {
                order: () => Promise.resolve("accepted"),
                report: ({ startedAt, stagedModels, model, busy, orderSequence, membership }) =>
                    Promise.resolve({
                        startedAt,
                        stagedModels,
                        model,
                        busy,
                        orderSequence,
                        membership,
                        waiting: 0,
                        running: 0,
                        pace: 1,
                    }),
            },
            trafficSeen: () => true,
            demandOf: () => createDemandMeter(),
            registryDelayMilliseconds: () => 0,
            onMembership: ({ host }) => void announced.push(host),
        });
    };
    afterEach(() => {
        planner.stop();
        clock.uninstall();
    });

    [["pool"], ["pool", "other"]].forEach(services =>
        it(`does not announce groups of ${services.length} services in each round`, async () => {
            start(stateOf(services));
            await clock.tickAsync(2_000);
            expect([...announced].sort()).to.deep.equal(services.map(name => `head-of-${name}`).sort());
        })
    );
});
