/** Fixtures for tests of the planner of a fabric domain: hosts, one complete group, and summaries of orders. */
import type { ModelProfile } from "../../routes/types.js";
import type { EngineOrder } from "../orders.js";
import type { DomainPlanInput, EngineHost } from "../planinput.js";
import type { DomainPlanner } from "../planner.js";
import type { GroupMembership, Target } from "../types.js";

export const models: ModelProfile[] = [
    { name: "large", size: 3, share: 0.67, pace: 1, loadMilliseconds: 16_000, warmMilliseconds: 1_600 },
    { name: "small", size: 2, share: 0.33, pace: 0.6, loadMilliseconds: 12_000, warmMilliseconds: 1_100 },
];
export const START = 10_000;

/** Builds a host as the planner sees it; by default it is registered and holds no weights. */
export function host(
    id: string,
    fields: Partial<Target> = {},
    hostFields: Partial<Omit<EngineHost, "target">> = {},
): EngineHost {
    return {
        target: {
            id,
            service: "pool",
            address: "10.0.0.1:80",
            dataCentre: "a",
            draining: false,
            registered: true,
            slots: 18,
            domain: "d",
            stagedModels: [],
            busy: false,
            entryNumber: 0,
            ...fields,
        },
        orderPending: false,
        statedAt: START,
        unreachable: false,
        lost: false,
        lapsed: false,
        knownSince: 0,
        ...hostFields,
    };
}

/** Builds the input of a planning round; by default loads are quick. */
export function input(hosts: readonly EngineHost[], fields: Partial<DomainPlanInput> = {}): DomainPlanInput {
    return {
        domain: "d",
        hosts,
        models,
        groupsByModel: new Map(),
        demandByModel: new Map(),
        loadsAllowed: 100,
        loadsAllowedSoon: 100,
        loadsAreQuick: true,
        registryDelayMilliseconds: 0,
        fencingToken: 4,
        nextEpoch: 10,
        now: START,
        ...fields,
    };
}

export const member = (rank: number, state: GroupMembership["state"], group = "d~large~4.9.3"): Partial<Target> => ({
    membership: { group, epoch: 9, rank, state },
    model: "large",
    stagedModels: ["large"],
});

/** Returns the orders of one planning round. */
export const ordersOf = (planner: DomainPlanner, round: DomainPlanInput): readonly EngineOrder[] =>
    planner.plan(round).orders;

export const summarize = (orders: readonly EngineOrder[]): string[] =>
    orders.map(order => `${order.kind} ${order.host}${"model" in order ? ` ${order.model}` : ""}`).sort();

export const completeGroup = [
    host("a", member(0, "open")),
    host("b", member(1, "ready")),
    host("c", member(2, "ready")),
];
export const [groupHead, ...otherMembers] = completeGroup as [EngineHost, ...EngineHost[]];
