/** Guards against too many requests to cold targets: after starts of targets and daemons, evacuations, and while daemons are cut off. */
import { type ColdStartTolerance, type RelayConfiguration, type Target } from "@damaskvale/core";
import { expect } from "chai";
import { createEvacuationState } from "../../evacuation/evacuationstate.js";
import { createDaemonList } from "../../peers/daemonlist.js";
import { createRelayState } from "../../relay/state.js";
import { createTargetAvailability } from "../../relay/targetavailability.js";
import { createColdTargets } from "../coldtargets.js";

const RATE = 17;
const COLD_MILLISECONDS = 3_000;
const TOLERANCE: ColdStartTolerance = { factor: 1.5, requests: 5 };
const BOUND = 30;

const target = (fields: Partial<Target> = {}): Target => ({
    id: "t",
    service: "portal",
    address: "10.0.0.1:80",
    dataCentre: "a",
    draining: false,
    registered: true,
    slots: 6,
    startedAt: 1,
    stagedModels: [],
    busy: false,
    entryNumber: 1,
    coldMilliseconds: 0,
    ...fields,
});
const configuration = (version: number, isLimited: boolean): RelayConfiguration => ({
    version,
    routes: [],
    services: [{
        name: "portal",
        healthPath: "/",
        maximumConnections: 9,
        coldStart: isLimited ? { milliseconds: COLD_MILLISECONDS, requestsPerSecond: RATE } : undefined,
    }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
});

/** Daemon with simulated time, which knows `daemons` others or none yet. */
function createDaemon(
    { name = "d0", daemons = 1, isBounded = true, isLimited = true } = {},
) {
    let now = 0;
    const events: { readonly name: string; readonly fields: Readonly<Record<string, unknown>>; }[] = [];
    const clock = { monotonic: () => now, wall: () => now };
    const log = { emit: (event: string, fields = {}) => void events.push({ name: event, fields }) };
    const list = createDaemonList({ daemon: name, dataCentre: "a", ip: "10.0.0.9" }, () => now);
    const announce = (count: number): void =>
        list.replace(
            Array.from({ length: count }, (...[, i]) => ({ daemon: `d${i}`, dataCentre: "a", ip: `10.0.1.${i}` })),
        );
    const evacuations = createEvacuationState({ clock, log, isKnownDataCentre: () => true });
    const state = createRelayState(() => undefined, evacuations.isEvacuated.bind(evacuations));
    evacuations.onChange(() => state.applyEvacuations());
    const coldTargets = createColdTargets({
        clock,
        log,
        self: name,
        tolerance: isBounded ? TOLERANCE : undefined,
        daemons: list,
        state,
        evacuations,
    });
    state.onChange(() => coldTargets.update());
    const availability = createTargetAvailability({
        clock,
        log,
        self: { daemon: name, dataCentre: "a" },
        reachableDaemons: () => [],
        knownDaemons: list.count,
        state,
        coldTargets,
    });
    if (daemons > 0) {
        announce(daemons);
    }
    state.applyConfiguration(configuration(1, isLimited));
    const write = (fields: Partial<Target>): void => state.applyTargets([{ key: "t", value: target(fields) }]);
    const wait = (): number => availability.waitMilliseconds(state.targetById("t")!);
    const send = (): boolean => {
        const mayBeSent = wait() === 0;
        if (mayBeSent) {
            availability.recordSent(state.targetById("t")!);
        }
        return mayBeSent;
    };
    return {
        advanceTo: (at: number) => {
            now = at;
        },
        announce,
        configure: (isNowLimited: boolean) => state.applyConfiguration(configuration(2, isNowLimited)),
        events,
        evacuations,
        state,
        coldTargets,
        write,
        wait,
        send,
    };
}

/** Returns the largest number of times within a second. */
const mostWithinSecond = (times: readonly number[]): number =>
    Math.max(0, ...times.map(start => times.filter(at => at >= start && at <= start + 1_000).length));

/** Lets all daemons send as often as they may from `from` to `to`; returns the times. */
function sendTimes(daemons: readonly ReturnType<typeof createDaemon>[], from: number, to: number): number[] {
    return Array.from({ length: (to - from) / 5 }, (...[, i]) => from + 5 * i).flatMap(at => {
        daemons.forEach(({ advanceTo }) => advanceTo(at));
        return daemons.filter(({ send }) => send()).map(() => at);
    });
}

const unlimited: readonly { readonly name: string; readonly options: Parameters<typeof createDaemon>[0]; }[] = [
    { name: "the settings state no bound", options: { isBounded: false } },
    { name: "the service states no limit", options: { isLimited: false } },
];

describe("cold targets", () => {
    unlimited.forEach(({ name, options }) => {
        it(`are not limited if ${name}`, () => {
            const daemon = createDaemon({ ...options, daemons: 0 });
            daemon.write({ coldMilliseconds: COLD_MILLISECONDS });
            expect(Array.from({ length: 50 }, () => daemon.send())).to.not.include(false);
            expect([daemon.coldTargets.count(), daemon.events]).to.deep.equal([0, []]);
        });
    });

    [3, 35, 81].forEach(count => {
        it(`get no more than their bound from ${count} daemons that hear nothing of each other`, () => {
            const daemons = Array.from(
                { length: count },
                (...[, i]) => createDaemon({ name: `d${i}`, daemons: count }),
            );
            daemons.forEach(({ advanceTo, write }) => {
                advanceTo(5_000);
                write({ coldMilliseconds: COLD_MILLISECONDS });
            });
            const times = sendTimes(daemons, 5_000, 8_000);
            expect(mostWithinSecond(times)).to.be.at.most(BOUND);
            expect(times.length).to.be.at.least(2 * RATE);
        });
    });

    it("get more from second to second after they turned warm, and then all", () => {
        const daemons = Array.from({ length: 35 }, (...[, i]) => createDaemon({ name: `d${i}`, daemons: 35 }));
        daemons.forEach(({ advanceTo, write }) => {
            advanceTo(5_000);
            write({ coldMilliseconds: COLD_MILLISECONDS });
        });
        sendTimes(daemons, 5_000, 8_000);
        const ready = [8_050, 8_500, 8_900, 9_000].map(at => {
            daemons.forEach(({ advanceTo }) => advanceTo(at));
            return daemons.filter(({ wait }) => wait() === 0).length;
        });
        expect(ready[0]).to.be.below(ready[1] ?? 0);
        expect(ready[1]).to.be.below(ready[2] ?? 0);
        expect(ready[3]).to.equal(35);
    });

    it("get nothing from a daemon that does not know the others yet", () => {
        const daemon = createDaemon({ daemons: 0 });
        daemon.write({ coldMilliseconds: 60_000 });
        daemon.advanceTo(20_000);
        expect(daemon.wait()).to.be.above(0);
        daemon.announce(1);
        daemon.advanceTo(20_900);
        expect(daemon.wait()).to.be.above(0);
        daemon.advanceTo(22_000);
        expect(daemon.wait()).to.be.closeTo(1_000 / RATE * 1.1, 10);
        daemon.advanceTo(22_100);
        expect(daemon.wait()).to.equal(0);
    });

    it("get one request at once from a daemon that was paused", () => {
        const daemon = createDaemon();
        daemon.write({ coldMilliseconds: 60_000 });
        daemon.advanceTo(2_000);
        daemon.wait();
        daemon.advanceTo(30_000);
        expect([daemon.send(), daemon.send()]).to.deep.equal([true, false]);
    });

    const becomesCold: readonly {
        readonly name: string;
        readonly by: (daemon: ReturnType<typeof createDaemon>) => void;
    }[] = [
        {
            name: "its entry says so",
            by: ({ write }) => write({ entryNumber: 2, coldMilliseconds: COLD_MILLISECONDS }),
        },
        {
            name: "another process has its id and its entry does not say that it is warm",
            by: ({ write }) => write({ startedAt: 2, entryNumber: 1, coldMilliseconds: undefined }),
        },
        {
            name: "the evacuation of its data centre ended",
            by: ({ evacuations }) => {
                const statement = { dataCentre: "a", era: 0 };
                evacuations.merge({ ...statement, evacuated: true, offset: 1 });
                evacuations.merge({ ...statement, evacuated: false, offset: 2 });
            },
        },
    ];
    becomesCold.forEach(({ name, by }) => {
        it(`include a target as soon as ${name}, for the stated time`, () => {
            const daemon = createDaemon();
            daemon.write({});
            daemon.advanceTo(10_000);
            expect([daemon.send(), daemon.send()]).to.deep.equal([true, true]);
            by(daemon);
            expect(daemon.coldTargets.count()).to.equal(1);
            daemon.send();
            expect(daemon.wait()).to.be.above(0);
            daemon.advanceTo(10_000 + COLD_MILLISECONDS + 1_000);
            expect([daemon.coldTargets.count(), daemon.wait()]).to.deep.equal([0, 0]);
            const cold = daemon.events.filter(({ name: event }) => event === "targetsTurnedCold");
            expect(cold.map(({ fields: { count, targets, milliseconds } }) => [count, targets, milliseconds]))
                .to.deep.equal([[1, ["t"], COLD_MILLISECONDS]]);
        });
    });

    it("stay cold no longer because a membership is reported", () => {
        const daemon = createDaemon();
        daemon.write({ coldMilliseconds: COLD_MILLISECONDS });
        daemon.advanceTo(2_500);
        daemon.state.applyMembership({
            host: "t",
            startedAt: 1,
            membership: { group: "g", epoch: 1, rank: 0, state: "open" },
        });
        daemon.advanceTo(COLD_MILLISECONDS);
        expect(daemon.coldTargets.count()).to.equal(0);
    });

    it("are announced as started again, so that nothing learned of the process before counts, also after a gap", () => {
        const daemon = createDaemon();
        const restarted: string[] = [];
        daemon.coldTargets.onRestarted(id => void restarted.push(id));
        daemon.write({});
        daemon.write({ entryNumber: 2, coldMilliseconds: 500 });
        expect(restarted).to.deep.equal([]);
        daemon.write({ entryNumber: 3, draining: true });
        daemon.state.applyTargets([{ key: "t" }]);
        daemon.advanceTo(20_000);
        daemon.write({ startedAt: 2 });
        expect(restarted).to.deep.equal(["t"]);
    });

    it("are limited no more once a configuration states no limit", () => {
        const daemon = createDaemon();
        daemon.write({ coldMilliseconds: COLD_MILLISECONDS });
        daemon.configure(false);
        expect(Array.from({ length: 9 }, () => daemon.send())).to.not.include(false);
    });
});
