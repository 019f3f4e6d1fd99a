/** The planner waits for the effect of its orders and does not mistake a network partition for the loss of a host. */
import type { EngineOrder, Target } from "@damaskvale/core";
import { expect } from "chai";
import type { EngineReport } from "../../ports/enginecontrol.js";
import { createHostRecords, type HostRecords, reportFromSameProcess } from "../hostrecords.js";

const target: Target = {
    id: "a",
    service: "pool",
    address: "10.0.0.1:80",
    dataCentre: "x",
    draining: false,
    registered: true,
    slots: 18,
    domain: "d",
    stagedModels: ["m"],
    busy: false,
    entryNumber: 0,
    membership: { group: "g", epoch: 1, rank: 0, state: "ready" },
};
const report: EngineReport = {
    stagedModels: ["m"],
    busy: false,
    orderSequence: 3,
    waiting: 0,
    running: 0,
    pace: 1,
    membership: target.membership,
};

const membership = { host: "a", group: "g", epoch: 1 };
const orders = {
    join: { ...membership, kind: "join", model: "m", members: ["a"] },
    open: { ...membership, kind: "open" },
    leave: { ...membership, kind: "leave", reason: "member-lost" },
    stage: { kind: "stage", host: "a", model: "m" },
} satisfies Partial<Record<EngineOrder["kind"], EngineOrder>>;

describe("host records", () => {
    // Another engine may take over an address; its membership would make a lost member look ready.
    const startTimes: readonly [string, number | undefined, number | undefined, boolean][] = [
        ["the same start time", 5, 5, true],
        ["an entry without a start time", undefined, 5, true],
        ["a report without a start time", 5, undefined, true],
        ["another start time", 5, 6, false],
    ];
    startTimes.forEach(([name, entry, answer, accepted]) =>
        it(`${accepted ? "accept" : "reject"} the report of an engine with ${name}`, () => {
            const given: EngineReport = { ...report, startedAt: answer };
            expect(reportFromSameProcess({ ...target, startedAt: entry }, given)).to.equal(
                accepted ? given : undefined,
            );
        })
    );

    it("await the order count of a host before its first order", () => {
        const records = createHostRecords();
        expect(records.describe(target, 0).orderPending).to.equal(true);
        records.recordReport(target, report, 0);
        expect([records.describe(target, 0).orderPending, records.describe(target, 0).orderSequence]).to.deep.equal([
            false,
            3,
        ]);
    });

    // After an order to open, a group takes longer to serve than a host takes to show that it is joining.
    const effects: readonly ["join" | "open", number, number][] = [["join", 300, 700], ["open", 900, 1_100]];
    effects.forEach(([kind, early, late]) =>
        it(`wait for the effect of an order to ${kind} before they request a report`, () => {
            const records = createHostRecords();
            records.recordReport(target, report, 0);
            records.recordOrderSent(target, 3);
            records.recordOrderResult(target, orders[kind], "accepted", 12);
            expect([records.describe(target, 100).orderPending, records.describe(target, 100).orderSequence]).to.deep
                .equal([
                    true,
                    4,
                ]);
            expect([records.needsReport(target, early), records.needsReport(target, late)]).to.deep.equal([
                false,
                true,
            ]);
        })
    );

    const suspected: readonly { readonly name: string; readonly answers: boolean; readonly requests: number; }[] = [
        { name: "several times a second until it answers", answers: false, requests: 11 },
        { name: "about once a second after it has answered", answers: true, requests: 4 },
    ];
    suspected.forEach(({ name, answers, requests }) =>
        it(`request reports of a suspected host ${name}`, () => {
            const records = createHostRecords();
            records.recordReport(target, report, 0);
            records.recordSuspicion(target, 1_000);
            const times = Array.from({ length: 400 }, (...[, index]) => 1_000 + index * 10);
            const asked = times.filter(now => {
                const isAsked = records.needsReport(target, now);
                if (isAsked) {
                    records.recordReportRequested(target, now);
                    records.recordReport(target, answers ? report : undefined, now);
                }
                return isAsked;
            });
            expect(asked.length).to.be.within(requests - 1, requests + 1);
        })
    );

    it("do not open a group twice when an entry arrives that does not show the first order yet", () => {
        const records = createHostRecords();
        records.recordReport(target, report, 0);
        records.recordOrderSent(target, 3);
        records.recordOrderResult(target, orders.open, "accepted", 12);
        expect(records.describe({ ...target }, 100).orderPending).to.equal(true);
        const open: Target = { ...target, membership: { group: "g", epoch: 1, rank: 0, state: "open" } };
        expect(records.describe(open, 120).orderPending).to.equal(false);
    });

    it("await the effect of an order until the registry or the engine shows it", () => {
        const records = createHostRecords();
        records.recordReport(target, report, 0);
        records.recordOrderSent(target, 3);
        records.recordOrderResult(target, orders.open, "accepted", 12);
        expect(records.describe(target, 1_100).orderPending).to.equal(true);
        records.recordReport(target, { ...report, orderSequence: 4 }, 1_150);
        expect(records.describe(target, 1_160).orderPending).to.equal(false);
    });

    it("ignore a report that is older than the last order", () => {
        const records = createHostRecords();
        records.recordReport(target, report, 0);
        records.recordOrderSent(target, 3);
        records.recordOrderResult(target, orders.open, "accepted", 12);
        records.recordReport(target, report, 100);
        expect(records.describe(target, 100).orderSequence).to.equal(4);
    });

    it("treat an order to leave with the result already-holds as effective", () => {
        const records = createHostRecords();
        records.recordReport(target, report, 0);
        records.recordOrderSent(target, 3);
        records.recordOrderResult(target, orders.leave, "already-holds", 12);
        const described = records.describe(target, 13);
        expect([described.orderPending, described.target.membership, records.describe(target, 13).orderSequence])
            .to.deep.equal([false, undefined, 4]);
    });

    it("request a report after a conflict or an unanswered order", () => {
        (["conflict", "unanswered"] as const).forEach(result => {
            const records = createHostRecords();
            records.recordReport(target, report, 0);
            records.recordOrderSent(target, 3);
            records.recordOrderResult(target, orders.open, result, 12);
            expect(records.describe(target, 13).orderSequence, result).to.equal(undefined);
            expect(records.needsReport(target, 400), result).to.equal(true);
        });
    });

    it("reset the order count when a host restarts under its id", () => {
        const records = createHostRecords();
        records.recordReport({ ...target, startedAt: 5 }, report, 0);
        expect(records.describe({ ...target, startedAt: 9 }, 1).orderSequence).to.equal(undefined);
    });

    // A process that restarts during a network partition responds to report requests for its predecessor's entry.
    it("treat a host as lost when another process refuses an order for it as misdirected", () => {
        const records = createHostRecords();
        records.recordReport(target, report, 0);
        records.recordOrderSent(target, 3);
        records.recordOrderResult(target, orders.join, "misdirected", 12);
        records.recordReport(target, { ...report, orderSequence: 0 }, 400);
        expect(records.describe({ ...target }, 500)).to.deep.include({ lost: true, unreachable: false });
        expect(records.needsReport(target, 5_000)).to.equal(false);
        expect(records.describe({ ...target, startedAt: 9 }, 600).lost).to.equal(false);
    });

    it("count a report with fewer orders than the host has accepted as missed", () => {
        const records = createHostRecords();
        records.recordReport(target, report, 0);
        [400, 800].forEach(now => records.recordReport(target, { ...report, orderSequence: 0 }, now));
        expect(records.describe(target, 800)).to.deep.include({ unreachable: true });
        expect(records.describe({ ...target, registered: false }, 900).lost).to.equal(true);
    });

    // An engine that loads the weights already accepts the order to load again, and does not count it.
    it("use a report that does not count an accepted order to load", () => {
        const records = createHostRecords();
        records.recordReport(target, report, 0);
        records.recordOrderSent(target, 3);
        records.recordOrderResult(target, orders.stage, "accepted", 12);
        expect(records.describe(target, 13).orderSequence).to.equal(undefined);
        [400, 800].forEach(now => records.recordReport(target, report, now));
        expect(records.describe(target, 800)).to.deep.include({ unreachable: false, orderSequence: 3 });
    });

    it("do not set a member back to joining from a report that is older than its entry", () => {
        const records = createHostRecords();
        const joining = { group: "g", epoch: 1, rank: 0, state: "joining" } as const;
        expect(records.recordReport(target, { ...report, membership: joining }, 400)).to.equal(false);
        expect(records.describe(target, 500).target.membership?.state).to.equal("ready");
        expect(records.describe(target, 500).orderSequence).to.equal(3);
    });

    it("keep awaiting the effect of an order when a report does not show it yet", () => {
        const records = createHostRecords();
        records.recordReport(target, report, 0);
        records.recordOrderSent(target, 3);
        records.recordOrderResult(target, orders.open, "accepted", 12);
        expect(records.recordReport(target, { ...report, orderSequence: 4 }, 400)).to.equal(false);
        expect(records.describe(target, 500).orderPending).to.equal(true);
        const open = { group: "g", epoch: 1, rank: 0, state: "open" } as const;
        records.recordReportRequested(target, 590);
        expect(records.recordReport(target, { ...report, orderSequence: 4, membership: open }, 600)).to.equal(true);
        expect(records.describe(target, 601).orderPending).to.equal(false);
    });

    it("treat an unreachable host as lost only if its group makes no progress or its entry is gone", () => {
        const records = createHostRecords();
        [0, 400].forEach(now => records.recordReport(target, undefined, now));
        expect(records.describe(target, 400)).to.deep.include({ unreachable: true, lost: false });
        records.recordSuspicion(target, 400);
        expect(records.describe(target, 401).lost).to.equal(true);
        expect(records.describe({ ...target, registered: false }, 9_000).lost).to.equal(true);
    });

    describe("notify of an entry that is earlier than a report", () => {
        const earlier: Target = { ...target, membership: undefined };
        const notified = (change: (records: HostRecords) => void): unknown[] => {
            const calls: unknown[] = [];
            const records = createHostRecords(({ id }, { known, knownFrom, entry, orderSequence }) =>
                calls.push([id, known?.group, knownFrom, entry, orderSequence])
            );
            records.recordReport(target, report, 0);
            change(records);
            return calls;
        };
        const cases: readonly [string, (records: HostRecords) => void, readonly unknown[]][] = [
            ["once in many rounds", records => {
                Array.from({ length: 9 }, (...[, index]) => records.describe(earlier, 100 + index));
            }, [["a", "g", "report", undefined, 3]]],
            ["not if the process restarted", records => {
                records.describe({ ...earlier, startedAt: 9 }, 100);
            }, []],
            ["not if the entry repeats the report", records => {
                records.describe({ ...target }, 100);
            }, []],
            ["once although an order is accepted afterwards", records => {
                records.describe(earlier, 100);
                records.recordReport(earlier, report, 500);
                records.recordOrderSent(earlier, 3);
                records.recordOrderResult(earlier, orders.stage, "accepted", 610);
                expect(records.describe(earlier, 620).target.membership).to.equal(target.membership);
            }, [["a", "g", "report", undefined, 3]]],
            ["once although an order is refused afterwards", records => {
                records.describe(earlier, 100);
                records.recordReport(earlier, report, 500);
                records.recordOrderSent(earlier, 3);
                records.recordOrderResult(earlier, orders.join, "conflict", 610);
                expect(records.describe(earlier, 620).orderSequence).to.equal(undefined);
                expect(records.describe(earlier, 620).target.membership).to.equal(target.membership);
            }, [["a", "g", "report", undefined, 3]]],
        ];
        cases.forEach(([name, change, calls]) =>
            it(name, () => {
                expect(notified(change)).to.deep.equal(calls);
            })
        );
    });

    it("state the source and the ages of what an order is made from", () => {
        const records = createHostRecords();
        expect(records.provenanceOf(target, 30)).to.equal(undefined);
        records.recordReport(target, report, 50);
        records.recordOrderSent(target, 3);
        records.recordOrderResult(target, orders.open, "accepted", 80);
        expect(records.provenanceOf({ ...target }, 100)).to.deep.equal({
            known: target.membership,
            knownFrom: "report",
            knownAgeMilliseconds: 50,
            sequenceAgeMilliseconds: 20,
        });
        const open = { ...target, membership: { group: "g", epoch: 1, rank: 0, state: "open" } as const };
        records.describe(open, 110);
        expect(records.provenanceOf(open, 130)).to.deep.equal({
            known: open.membership,
            knownFrom: "entry",
            knownAgeMilliseconds: 20,
            sequenceAgeMilliseconds: 50,
        });
    });

    // A log that names another membership than the planner used would mislead the search for a wrong order.
    it("state the membership that the planner uses, whatever was recorded before", () => {
        const memberships = [undefined, ...["joining", "ready", "open"] as const].flatMap(state =>
            [1, 2].map(epoch => state === undefined ? undefined : { group: `g${epoch}`, epoch, rank: 0, state })
        );
        const copies = memberships.map(membership => ({ ...target, membership }));
        const results = ["accepted", "already-holds", "conflict"] as const;
        let seed = 1;
        const pick = <Item>(items: readonly Item[]): Item => {
            seed = seed * 48_271 % 2_147_483_647;
            return items[seed % items.length] as Item;
        };
        const records = createHostRecords();
        Array.from({ length: 5_000 }, (...[, index]) => index * 200).forEach(now => {
            const entry = pick(copies);
            pick([
                () =>
                    records.recordReport(entry, { ...report, orderSequence: now, membership: pick(memberships) }, now),
                () => {
                    records.recordOrderSent(entry, now);
                    records.recordOrderResult(entry, pick(Object.values(orders)), pick(results), now);
                },
                () => records.describe(pick(copies), now),
            ])();
            const described = records.describe(entry, now).target.membership;
            const { known } = records.provenanceOf(entry, now) ?? { known: entry.membership };
            expect(known, `at ${now}`).to.deep.equal(described);
        });
    });

    it("confirm an entry as lapsed only while the host responds", () => {
        const records = createHostRecords();
        const lapsed = { ...target, registered: false };
        const lapsedAt = (now: number): boolean => records.describe(lapsed, now).lapsed;
        records.recordReport(lapsed, undefined, 0);
        records.recordReport(lapsed, report, 5_000);
        expect(lapsedAt(6_000)).to.equal(false);
        records.recordReport(lapsed, report, 6_500);
        expect(lapsedAt(7_300)).to.equal(true);
    });
});
