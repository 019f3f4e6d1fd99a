/** An entry replaces what an engine has stated only if it is certainly later; otherwise two groups would get one host. */
import type { EngineOrder, GroupMembership, Target } from "@damaskvale/core";
import { expect } from "chai";
import type { EngineReport, OrderResult } from "../../ports/enginecontrol.js";
import { type KnownEngine, knownFromAnswer, knownFromEntry, knownFromReport, provenanceOf } from "../knownengine.js";

const former: GroupMembership = { group: "f", epoch: 4, rank: 0, state: "ready" };
const joining: GroupMembership = { group: "g", epoch: 5, rank: 1, state: "joining" };
const ready: GroupMembership = { ...joining, state: "ready" };
const other: GroupMembership = { ...ready, group: "o" };
const next: GroupMembership = { group: "h", epoch: 6, rank: 0, state: "joining" };

const join: EngineOrder = { kind: "join", host: "a", group: "g", epoch: 5, model: "m", members: ["b", "a"] };
const leave = { kind: "leave", host: "a", group: "g", epoch: 5, reason: "member-lost" } satisfies EngineOrder;
const open: EngineOrder = { kind: "open", host: "a", group: "g", epoch: 5 };
const stage: EngineOrder = { kind: "stage", host: "a", model: "m" };

const ORDERS_BEFORE = 7;

const entryOf = (membership: GroupMembership | undefined): Target => ({
    id: "a",
    service: "pool",
    address: "10.0.0.1:80",
    dataCentre: "x",
    draining: false,
    registered: true,
    slots: 1,
    stagedModels: [],
    busy: false,
    entryNumber: 3,
    membership,
});

const reportOf = (membership: GroupMembership | undefined, orderSequence = ORDERS_BEFORE): EngineReport => ({
    stagedModels: [],
    busy: false,
    waiting: 0,
    running: 0,
    pace: 1,
    orderSequence,
    membership,
});

/** What arrives: an entry, a report, or the answer to an order. */
type Step =
    | { readonly entry: GroupMembership | undefined; }
    | { readonly report: GroupMembership | undefined; }
    | { readonly order: EngineOrder; readonly result?: OrderResult; };

const engineAfter = (first: GroupMembership | undefined, steps: readonly Step[]): KnownEngine =>
    steps.reduce<KnownEngine>(
        (known, step, index) => {
            const now = 10 + index;
            if ("order" in step) {
                const { order, result = "accepted" } = step;
                return knownFromAnswer(known, {
                    order,
                    result,
                    expectedSequence: known.orderSequence,
                    answeredAt: now,
                });
            }
            return "report" in step
                ? knownFromReport({ report: reportOf(step.report), known, isNewest: false, arrivedAt: now })
                : knownFromEntry(known, entryOf(step.entry), now);
        },
        knownFromReport({ report: reportOf(first), known: entryOf(first), isNewest: true, arrivedAt: 0 }),
    );

/** A first report, what follows it, and the group, the number and the doubt that result. */
interface Case {
    readonly name: string;
    readonly first?: GroupMembership;
    readonly steps: readonly Step[];
    readonly group: GroupMembership | undefined;
    readonly orders: number;
    readonly isDoubted?: boolean;
}

describe("known engine", () => {
    const cases: readonly Case[] = [
        { name: "an entry without a group", first: ready, steps: [{ entry: undefined }], group: ready, orders: 7 },
        { name: "an entry of the former group", first: ready, steps: [{ entry: former }], group: ready, orders: 7 },
        { name: "an entry that still joins", first: ready, steps: [{ entry: joining }], group: ready, orders: 7 },
        { name: "an entry of another group", first: ready, steps: [{ entry: other }], group: ready, orders: 7 },
        {
            name: "an entry without a group after an accepted join",
            steps: [{ order: join }, { entry: undefined }],
            group: joining,
            orders: 8,
        },
        {
            name: "an entry of the former group after an accepted join",
            first: former,
            steps: [{ order: join }, { entry: former }],
            group: joining,
            orders: 8,
        },
        {
            name: "an entry of the group that was left",
            first: ready,
            steps: [{ order: leave, result: "already-holds" }, { entry: ready }],
            group: undefined,
            orders: 8,
        },
        {
            name: "entries of the time before a group was left and another one joined",
            first: former,
            steps: [
                { order: { ...leave, group: "f", epoch: 4 }, result: "already-holds" },
                { order: join },
                { entry: former },
                { entry: undefined },
            ],
            group: joining,
            orders: 9,
        },
        { name: "an entry of a group after a report of none", steps: [{ entry: ready }], group: undefined, orders: 7 },
        { name: "a late report of joining", first: ready, steps: [{ report: joining }], group: ready, orders: 7 },
        { name: "an entry of a later state", first: joining, steps: [{ entry: ready }], group: ready, orders: 7 },
        { name: "an entry that agrees", first: ready, steps: [{ entry: ready }], group: ready, orders: 7 },
        { name: "an accepted order to open", first: ready, steps: [{ order: open }], group: ready, orders: 8 },
        { name: "a report of none", first: ready, steps: [{ report: undefined }], group: undefined, orders: 7 },
    ];
    cases.forEach(({ name, first, steps, group, orders }) =>
        it(`keeps the group and the number of orders together after ${name}`, () => {
            const { membership, orderSequence, isDoubted } = engineAfter(first, steps);
            expect({ membership, orderSequence, isDoubted }).to.deep.equal({
                membership: group,
                orderSequence: orders,
                isDoubted: false,
            });
        })
    );

    const doubts: readonly Case[] = [
        { name: "an entry of a later group", first: ready, steps: [{ entry: next }], group: next, orders: 7 },
        {
            name: "an entry of a group after the one that was left",
            first: ready,
            steps: [{ order: leave }, { entry: next }],
            group: next,
            orders: 8,
        },
        {
            name: "an order without an answer",
            steps: [{ order: join, result: "unanswered" }],
            group: undefined,
            orders: 7,
        },
        { name: "an accepted order to load", steps: [{ order: stage }], group: undefined, orders: 7 },
        { name: "a refused order", steps: [{ order: join, result: "conflict" }], group: undefined, orders: 7 },
        { name: "a report of an earlier group", first: ready, steps: [{ report: former }], group: ready, orders: 7 },
        {
            name: "an accepted order after an entry of a later group",
            first: ready,
            steps: [{ entry: next }, { order: open }],
            group: next,
            orders: 7,
        },
    ];
    doubts.forEach(({ name, first, steps, group, orders }) =>
        it(`makes no order before a report after ${name}`, () => {
            const { membership, orderSequence, isDoubted } = engineAfter(first, steps);
            expect({ membership, orderSequence, isDoubted }).to.deep.equal({
                membership: group,
                orderSequence: orders,
                isDoubted: true,
            });
        })
    );

    it("orders again after the entry of its own join arrived before the answer", () => {
        const { membership, orderSequence, isDoubted } = engineAfter(undefined, [{ entry: undefined }, {
            order: join,
        }]);
        expect([membership, orderSequence, isDoubted]).to.deep.equal([joining, 8, false]);
        const left = engineAfter(former, [{ order: { ...leave, group: "f", epoch: 4 } }, { entry: joining }]);
        const answered = knownFromAnswer(left, {
            order: join,
            result: "accepted",
            expectedSequence: 8,
            answeredAt: 20,
        });
        expect([answered.orderSequence, answered.isDoubted]).to.deep.equal([9, false]);
    });

    const provenances: readonly (readonly [string, readonly Step[], string, number])[] = [
        ["the first report", [], "report", 100],
        ["a report that repeats it", [{ report: joining }], "report", 90],
        ["an entry that repeats a report", [{ report: joining }, { entry: joining }], "report", 90],
        ["an order to leave", [{ order: leave }, { entry: joining }], "order", 90],
        ["an entry that changes a report", [{ report: joining }, { entry: ready }], "entry", 89],
    ];
    provenances.forEach(([name, steps, from, age]) =>
        it(`names the source and age of a membership known from ${name}`, () => {
            const { knownFrom, knownAgeMilliseconds } = provenanceOf(engineAfter(joining, steps), 100);
            expect([knownFrom, knownAgeMilliseconds]).to.deep.equal([from, age]);
        })
    );
});
