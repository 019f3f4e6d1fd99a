/** A group that its members have accepted to join counts before the registry shows it, so that no other group gives up its hosts. */
import {
    createDemandMeter,
    type EngineOrder,
    type EngineProfile,
    type GroupMembership,
    type Target,
} from "@damaskvale/core";
import { type Clock as FakeClock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { createRelayState } from "../../relay/state.js";
import type { RelayState } from "../../relay/statetypes.js";
import { type EnginePlanner, startEnginePlanner } from "../engineplanner.js";

/** Longer than a model may be without a group before groups of others are taken apart for it. */
const LOADED_AFTER_MILLISECONDS = 4_000;
/** Shorter than the time after which an engine whose entry shows no effect is asked for a report. */
const SHOWN_AFTER_MILLISECONDS = 500;

const model = (name: string, size: number): object => ({
    name,
    size,
    share: 0.5,
    pace: 1,
    loadMilliseconds: 60_000,
    warmMilliseconds: 100,
});
const engine = { models: [model("large", 3), model("small", 2)], loadsPerSecond: 50 } as unknown as EngineProfile;
const SMALL_GROUPS = 4;
const HOSTS_OF_LARGE = ["free-0", "free-1", "free-2"];

const hostOf = (id: string, modelName?: string, membership?: GroupMembership): Target => ({
    id,
    service: "pool",
    address: `${id}:80`,
    dataCentre: "x",
    draining: false,
    registered: true,
    slots: 1,
    startedAt: 1,
    domain: "d",
    model: modelName,
    stagedModels: modelName === undefined ? [] : [modelName],
    busy: false,
    entryNumber: 1,
    membership,
});
const membersOfSmall = Array.from({ length: SMALL_GROUPS }, (...[, index]) => index + 1).flatMap(epoch =>
    [0, 1].map(rank =>
        hostOf(`small-${epoch}-${rank}`, "small", {
            group: `d~small~1.${epoch}`,
            epoch,
            rank,
            state: rank === 0 ? "open" : "ready",
        })
    )
);

describe("planner whose orders to join the registry does not show yet", () => {
    let clock: FakeClock;
    let planner: EnginePlanner;
    let state: RelayState;
    let orders: EngineOrder[];

    beforeEach(() => {
        clock = install({ now: 10_000, toFake: ["setTimeout", "clearTimeout", "performance"] });
        orders = [];
        state = createRelayState();
        state.applyConfiguration({
            version: 1,
            routes: [],
            services: [{ name: "pool", healthPath: "/", maximumConnections: 9, engine }],
            limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
        });
        state.replaceTargets([...membersOfSmall, ...HOSTS_OF_LARGE.map(id => hostOf(id))]);
        const demand = createDemandMeter();
        planner = startEnginePlanner({
            clock: { monotonic: () => performance.now(), wall: () => Date.now() },
            log: { emit: () => undefined },
            state,
            lease: {
                current: () => ({ fencingToken: 1, partitions: [0] }),
                confirmedSince: () => true,
                invalidate: () => undefined,
                stop: () => Promise.resolve(),
            },
            partitionCount: 1,
            engines: {
                order: (...[, order]) => {
                    orders.push(order);
                    return Promise.resolve("accepted");
                },
                report: ({ id }) => {
                    const { startedAt, stagedModels, model: loaded, busy, membership } = state.targetById(id) as Target;
                    const stated = { startedAt, stagedModels, model: loaded, busy, membership };
                    return Promise.resolve({ ...stated, orderSequence: 1, waiting: 0, running: 0, pace: 1 });
                },
            },
            trafficSeen: () => true,
            demandOf: () => {
                engine.models.forEach(({ name }) => demand.record(name, 1, performance.now()));
                return demand;
            },
            isEvacuated: () => false,
            registryDelayMilliseconds: () => 0,
            onMembership: reported => state.applyMembership(reported),
        });
    });
    afterEach(() => {
        planner.stop();
        clock.uninstall();
    });

    it("takes no group apart for the model of the group that is being formed", async () => {
        await clock.tickAsync(LOADED_AFTER_MILLISECONDS);
        state.applyTargets(HOSTS_OF_LARGE.map(id => ({ key: id, value: { ...hostOf(id, "large"), entryNumber: 2 } })));
        await clock.tickAsync(SHOWN_AFTER_MILLISECONDS);
        const joins = orders.flatMap(order => order.kind === "join" ? [[order.host, order.model]] : []);
        expect(joins.sort()).to.deep.equal(HOSTS_OF_LARGE.map(id => [id, "large"]));
        expect(orders.filter(({ kind }) => kind === "close" || kind === "leave")).to.deep.equal([]);
    });
});
