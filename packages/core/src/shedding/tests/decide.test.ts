/** The parts of the admission: chances by priority, single decisions, the bounded queue, return times, priorities. */
import { expect } from "chai";
import type { RelayConfiguration } from "../../routes/types.js";
import { createAdmissionQueue } from "../admissionqueue.js";
import { computeChances, sizedChance } from "../chances.js";
import { type AdmissionInput, decideAdmission } from "../decide.js";
import { clampPriority, findPrioritizedServices } from "../priorities.js";
import { createReturnTimes } from "../returntimes.js";

const input: AdmissionInput = {
    chance: 1,
    draw: 0.5,
    firstEventMilliseconds: 100,
    capacityMilliseconds: 10,
    objectiveLeftMilliseconds: 250,
    deadlineLeftMilliseconds: 5_000,
    waitLeftMilliseconds: 30,
    leastFirstEventMilliseconds: 90,
};

describe("computeChances", () => {
    it("prevents refusals while capacity exceeds the demand and its variation", () => {
        expect(computeChances({ capacity: 200, demand: [100, 10, 10] })).to.deep.equal([1, 1, 1]);
    });

    it("prevents that more urgent requests are refused for less urgent ones", () => {
        const [urgent = 0, next = 0, last = 0] = computeChances({ capacity: 110, demand: [100, 50, 50] });
        expect(urgent).to.be.above(0.7);
        expect([next < urgent, last <= next]).to.deep.equal([true, true]);
    });

    it("prevents that a priority starves: each keeps more than a quarter of what all get", () => {
        [20, 60, 120].forEach(capacity => {
            const demand = [100, 50, 50];
            const chances = computeChances({ capacity, demand });
            const common = chances.reduce((sum, chance, index) => sum + chance * (demand[index] ?? 0), 0) / 200;
            expect(Math.min(...chances), JSON.stringify(chances)).to.be.above(common / 4);
        });
    });

    it("prevents admitting more than the capacity, also where there is none", () => {
        [-20, 0, 50, 120].forEach(capacity => {
            const demand = [100, 50, 50];
            const admitted = computeChances({ capacity, demand })
                .reduce((sum, chance, index) => sum + chance * (demand[index] ?? 0), 0);
            expect(admitted).to.be.at.most(Math.max(0, capacity) + 1e-9);
        });
    });

    it("prevents that size alone decides: a request of any size keeps most of its chance", () => {
        expect([sizedChance(0.5, 100), sizedChance(0.5, 0.01), sizedChance(1, 100)]).to.deep.equal([0.35, 0.65, 1]);
    });
});

describe("decideAdmission", () => {
    const cases: readonly (readonly [string, Partial<AdmissionInput>, string])[] = [
        ["serves what is in time", {}, "serve"],
        ["serves late what takes nobody's place", { firstEventMilliseconds: 400 }, "serve"],
        ["refuses late what takes the place of others", {
            chance: 0.9,
            firstEventMilliseconds: 400,
            capacityMilliseconds: 90,
        }, "refuse"],
        ["queues what is in time after a short wait", { chance: 0.4 }, "wait"],
        ["refuses what would have to wait longer than it may", { chance: 0.4, capacityMilliseconds: 40 }, "refuse"],
        ["refuses what has waited as long as it may", { chance: 0.4, waitLeftMilliseconds: 0 }, "refuse"],
        ["refuses instead of queueing what could not be in time afterwards", {
            chance: 0.4,
            objectiveLeftMilliseconds: 95,
        }, "refuse"],
        ["refuses what cannot begin before its deadline", { deadlineLeftMilliseconds: 80 }, "refuse"],
        ["never serves without a free slot", { firstEventMilliseconds: undefined }, "wait"],
    ];
    cases.forEach(([name, changes, kind]) =>
        it(name, () => expect(decideAdmission({ ...input, ...changes }).kind).to.equal(kind))
    );
});

describe("admission queue", () => {
    it("keeps the most urgent first, then those that must begin first, and gives up the last one when full", () => {
        const queue = createAdmissionQueue<{ readonly priority: number; readonly endsAt: number; }>(2);
        const [late, urgent, early] = [{ priority: 2, endsAt: 9 }, { priority: 0, endsAt: 9 }, {
            priority: 2,
            endsAt: 5,
        }];
        expect([queue.add(late), queue.add(urgent), queue.add(early)]).to.deep.equal([undefined, undefined, late]);
        expect(queue.waiting()).to.deep.equal([urgent, early]);
        expect([queue.remove(urgent), queue.remove(urgent)]).to.deep.equal([true, false]);
    });
});

describe("return times", () => {
    const fleet = { slots: 560, slotMilliseconds: 1_000, daemons: 80, random: () => 0 };

    it("spread the callers that are refused together by the rate at which capacity is left", () => {
        const times = createReturnTimes();
        times.observe(420, true, 0);
        const waits = [0, 1, 2].map(() => times.reserve(fleet, 0));
        // 560 - 420 slots a second are left, of which a daemon has 1.75.
        expect(waits.map(wait => Math.round(wait / 10))).to.deep.equal([200, 257, 314]);
    });

    it("grow with the time for which capacity has been short, and no longer than that once it is not", () => {
        const times = createReturnTimes();
        [0, 1_500, 3_000, 4_500].forEach(now => times.observe(420, true, now));
        expect(times.reserve(fleet, 4_500)).to.equal(4_500);
        times.observe(420, true, 20_000);
        expect(times.reserve(fleet, 20_000)).to.equal(2_000);
    });

    it("stay bounded when nothing becomes free", () => {
        const times = createReturnTimes();
        const waits = Array.from({ length: 50 }, () => times.reserve({ ...fleet, slots: 0, random: () => 0.99 }, 0));
        expect(Math.max(...waits)).to.be.at.most(20_000);
    });
});

describe("priorities", () => {
    it("are clamped to the nearest in range", () => {
        expect([-3, 0, 4.4, 12, Number.NaN].map(clampPriority)).to.deep.equal([0, 0, 4, 9, 5]);
    });

    it("matter only for a service whose routes state different ones", () => {
        const route = (priority: number, service: string) => ({ priority, targets: [{ service, weight: 1 }] });
        const routes = [route(0, "a"), route(2, "a"), route(5, "b"), route(5, "b"), route(9, "c"), route(12, "c")];
        expect([...findPrioritizedServices({ routes } as unknown as RelayConfiguration)]).to.deep.equal(["a"]);
    });
});
