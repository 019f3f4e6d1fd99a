import { expect } from "chai";
import type { RowOf } from "../../table/row.js";
import { planFirstFit } from "../firstfit.js";
import { groupsFold, type GroupsState } from "../fold.js";
import { planGroups, type PlanInput, type PlannedHost } from "../plan.js";
import type { Report } from "../types.js";

type HostOptions = { report?: Partial<Report> | "silent"; leaving?: boolean; draining?: boolean; };

const load = { running: 0, queued: 0, ageMilliseconds: 0 };
const host = (name: string, options: HostOptions = {}): PlannedHost => ({
    listed: {
        host: name,
        dataCentre: "dc",
        fabricDomain: name.slice(0, 1),
        url: `http://127.0.0.1/${name}`,
        state: options.leaving ? "leaving" : "live",
        accelerators: 1,
    },
    draining: options.draining ?? false,
    report: options.report === "silent"
        ? undefined
        : { host: name, incarnation: "1", state: "idle", load, ...options.report },
});
const model = (fields: Partial<RowOf<"model">> = {}): RowOf<"model"> => ({
    kind: "model",
    name: "m",
    version: "1",
    members: 2,
    replicas: 1,
    dataCentres: [],
    spares: 0,
    downtimeWeight: 1,
    strandedWeight: 1,
    ...fields,
});
const input = (fields: Partial<PlanInput>): PlanInput => ({
    dataCentre: "dc",
    hosts: [],
    state: groupsFold.initial(),
    groups: [],
    models: [model()],
    graceMilliseconds: 5_000,
    drainMilliseconds: 120_000,
    maximumLoads: 16,
    ...fields,
});
const ready: Partial<Report> = { group: "g", fence: 3, model: "m", version: "1", state: "ready" };
const owned = (...hosts: string[]): GroupsState => ({
    hosts: Object.fromEntries(hosts.map(name => [name, { revision: 4, group: "g" }])),
    groups: {
        g: {
            group: "g",
            model: "m",
            version: "1",
            members: hosts,
            leader: hosts[0] ?? "",
            holder: "d",
            incarnation: "1",
            fence: 3,
        },
    },
    renewals: {},
});
const planned = { group: "g", missingMilliseconds: 0, held: true, retiringMilliseconds: 0 };
const summarize = (actions: ReturnType<typeof planGroups>) =>
    actions.map(action =>
        action.kind === "form"
            ? `form ${action.model} ${action.members.map(member => member.host).join(" ")}`
            : action.kind === "clear"
            ? `clear ${action.host} ${action.fence}`
            : `dissolve ${action.group}`
    );

describe("planGroups", () => {
    const cases: { guards: string; given: Partial<PlanInput>; actions: string[]; }[] = [
        {
            guards: "a group across two fabric domains while one domain has room",
            given: { hosts: ["a1", "b1", "b2"].map(name => host(name)) },
            actions: ["form m b1 b2"],
        },
        {
            guards: "a group with a silent host",
            given: { hosts: [host("a1"), host("a2", { report: "silent" })] },
            actions: [],
        },
        {
            guards: "a group with a leaving host",
            given: { hosts: [host("a1"), host("a2", { leaving: true })] },
            actions: [],
        },
        {
            guards: "planning a host that reports an earlier group before it is cleared",
            given: { hosts: [host("a1"), host("a2", { report: { ...ready, group: "old", fence: 1 } })] },
            actions: ["clear a2 1"],
        },
        {
            guards: "all replicas in one domain when downtime has a weight",
            given: {
                hosts: ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"].map(name => host(name)),
                models: [model({ replicas: 2 })],
            },
            actions: ["form m a1 a2", "form m b1 b2"],
        },
        {
            guards: "leftover hosts when only stranded accelerators have a weight",
            given: {
                hosts: ["a1", "a2", "a3", "b1", "b2"].map(name => host(name)),
                models: [model({ downtimeWeight: 0 })],
            },
            actions: ["form m b1 b2"],
        },
        {
            guards: "leaving a replica down to keep spares",
            given: { hosts: ["a1", "b1"].map(name => host(name)), models: [model({ spares: 1, downtimeWeight: 2 })] },
            actions: ["form m a1 b1"],
        },
        {
            guards: "another model taking the hosts of a broken replica",
            given: {
                hosts: [...["a1", "a2", "b1"].map(name => host(name)), host("b2", { report: "silent" })],
                models: [model({ name: "large", members: 4, downtimeWeight: 3 }), model({ name: "small" })],
            },
            actions: [],
        },
        {
            guards: "reserving hosts for a replica that returning hosts cannot complete",
            given: {
                hosts: ["a1", "a2", "b1"].map(name => host(name)),
                models: [model({ name: "large", members: 4, downtimeWeight: 3 }), model({ name: "small" })],
            },
            actions: ["form small a1 a2"],
        },
        {
            guards: "a model with a lower downtime weight taking the spares of another one",
            given: {
                hosts: ["a1", "a2", "b1"].map(name => host(name)),
                models: [model({ name: "large", replicas: 0, spares: 2, downtimeWeight: 3 }), model({ name: "small" })],
            },
            actions: [],
        },
        {
            guards: "more loads than the weight store allows",
            given: {
                hosts: ["a1", "a2", "b1", "b2"].map(name => host(name)),
                models: [model({ replicas: 2 })],
                maximumLoads: 3,
            },
            actions: ["form m a1 a2"],
        },
        {
            guards: "dissolving a group after a short silence",
            given: {
                hosts: [host("a1", { report: ready }), host("a2", { report: "silent" })],
                state: owned("a1", "a2"),
                groups: [{ ...planned, missingMilliseconds: 4_999 }],
            },
            actions: [],
        },
        {
            guards: "keeping a broken group after the grace period",
            given: {
                hosts: [host("a1", { report: ready }), host("a2", { report: "silent" })],
                state: owned("a1", "a2"),
                groups: [{ ...planned, missingMilliseconds: 5_000 }],
            },
            actions: ["dissolve g"],
        },
        {
            guards: "dissolving a group that another daemon holds",
            given: {
                hosts: [host("a1", { report: "silent" })],
                state: owned("a1"),
                groups: [{ ...planned, held: false, missingMilliseconds: 9_000 }],
            },
            actions: [],
        },
        {
            guards: "aborting requests because a member drains",
            given: {
                hosts: [
                    host("a1", { report: { ...ready, load: { ...load, running: 1 } } }),
                    host("a2", { report: ready, draining: true }),
                    host("b1"),
                    host("b2"),
                ],
                state: owned("a1", "a2"),
                groups: [{ ...planned, retiringMilliseconds: 3_000 }],
            },
            actions: ["form m b1 b2"],
        },
        ...[model({ members: 3 }), model({ name: "n", members: 3 })].map(changed => ({
            guards: `aborting requests because the table asks for ${changed.members} hosts of ${changed.name}`,
            given: {
                hosts: [
                    host("a1", { report: { ...ready, load: { ...load, running: 1 } } }),
                    host("a2", { report: ready }),
                ],
                state: owned("a1", "a2"),
                models: [changed],
                groups: [{ ...planned, retiringMilliseconds: 3_000 }],
            },
            actions: [],
        })),
        {
            guards: "keeping a group that has drained",
            given: {
                hosts: [host("a1", { report: ready }), host("a2", { report: ready, leaving: true })],
                state: owned("a1", "a2"),
                groups: [{ ...planned, retiringMilliseconds: 3_000 }],
            },
            actions: ["dissolve g"],
        },
        {
            guards: "aborting a request that a daemon sent before it knew that the group was retiring",
            given: {
                hosts: [host("a1", { report: ready }), host("a2", { report: ready, leaving: true })],
                state: owned("a1", "a2"),
                groups: [{ ...planned, retiringMilliseconds: 2_900 }],
            },
            actions: [],
        },
        {
            guards: "aborting a request that was sent after the leader's last report",
            given: {
                hosts: [
                    { ...host("a1", { report: ready }), reportAgeMilliseconds: 400 },
                    host("a2", { report: ready, leaving: true }),
                ],
                state: owned("a1", "a2"),
                groups: [{ ...planned, retiringMilliseconds: 3_300 }],
            },
            actions: [],
        },
        {
            guards: "ordering models by name instead of by weight",
            given: {
                hosts: ["a1", "a2"].map(name => host(name)),
                models: [model(), model({ name: "z", downtimeWeight: 5 })],
            },
            actions: ["form z a1 a2"],
        },
    ];

    cases.forEach(({ guards, given, actions }) => {
        it(`prevents ${guards}`, () => {
            expect(summarize(planGroups(input(given)))).to.deep.equal(actions);
        });
    });

    it("forms other groups than first fit, which spans fabric domains", () => {
        expect(summarize(planFirstFit(input({ hosts: ["a1", "b1", "b2"].map(name => host(name)) })))).to.deep.equal([
            "form m a1 b1",
        ]);
    });
});
