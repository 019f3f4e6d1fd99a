/** Fakes of the ports that the request path uses. */
import {
    callFor,
    createAdmission,
    createRouter,
    indexTable,
    type Outcome,
    type Row,
    rowFor,
    rowKey,
    rowSchema,
    ruleFor,
    teamByKeyHash,
} from "@damaskvale/core";
import { createHash } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ClaimResult, Claims, RecordedResponse } from "../../ports/claims.js";
import type { EngineClient } from "../../ports/engine.js";
import type { DispatchableGroup, GroupView } from "../../ports/groupview.js";
import type { ServiceClient } from "../../ports/service.js";
import type { TableView } from "../../ports/tableview.js";
import { createPublished } from "../../tasks/published.js";
import type { DispatcherOptions } from "../options.js";
import { createRetryPolicy } from "../retries.js";

export const TEAM_KEY = "key-of-legal-team";
export const OTHER_KEY = "key-of-other-team";

const sha256 = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Creates a view of a table with the given rows. */
export function createTable(rows: readonly Record<string, unknown>[]): TableView {
    const entries = rows.map(given => {
        const row: Row = rowSchema.parse(given);
        return { key: rowKey(row), revision: 1, row };
    });
    const index = indexTable(entries);
    return {
        nextOffset: 1,
        rows: entries,
        model: name => rowFor(index, "model", name),
        team: name => rowFor(index, "team", name),
        teamByKeyHash: keyHash => teamByKeyHash(index, keyHash),
        target: name => rowFor(index, "target", name),
        service: name => rowFor(index, "service", name),
        call: (service, method, path) => callFor(index, service, method, path),
        rule: (model, team, target) => ruleFor(index, model, team, target),
    };
}

export const baseRows = (serviceUrl: string): Record<string, unknown>[] => [
    { kind: "team", name: "legal", keyHashes: [sha256(TEAM_KEY)], models: ["notes"], services: ["fees"] },
    { kind: "team", name: "other", keyHashes: [sha256(OTHER_KEY)] },
    { kind: "model", name: "notes", version: "1", members: 2, replicas: 2 },
    { kind: "service", name: "fees", urls: [serviceUrl], timeoutMilliseconds: 1_000 },
    { kind: "call", name: "record", service: "fees", method: "POST", path: "/receipts", repeatable: "no" },
    { kind: "call", name: "search", service: "fees", method: "POST", path: "/search", repeatable: "yes" },
];

/** Creates a dispatchable group of the model `notes`. */
export function createGroup(group: string, leaderUrl: string): DispatchableGroup {
    return { group, model: "notes", fence: 7, members: [`${group}-a`], leader: `${group}-a`, leaderUrl, readySince: 0 };
}

/** Groups that a test can change. */
export interface FakeGroups extends GroupView {
    list: DispatchableGroup[];
    otherDataCentres: ReturnType<GroupView["remoteDataCentres"]>;
    allowed: boolean;
}

/** Creates a view of the given groups. */
export function createGroups(list: DispatchableGroup[]): FakeGroups {
    const groups: FakeGroups = {
        list,
        otherDataCentres: [],
        allowed: true,
        dispatchable: model => groups.list.filter(group => group.model === model),
        mayDispatch: group => groups.allowed && groups.list.some(known => known.group === group),
        remoteDataCentres: () => groups.otherDataCentres,
    };
    return groups;
}

/** Claims that a test can inspect. */
export interface FakeClaims extends Claims {
    readonly released: string[];
    readonly recorded: { claim: string; outcome: Outcome; status: number; }[];
    /** Awaited before a claim is answered. */
    before: () => Promise<void>;
    unavailable: boolean;
}

/** Creates claims in memory: the first claim of a key holds it. */
export function createClaims(): FakeClaims {
    const keys = new Map<string, { bodyHash: string; result: ClaimResult; }>();
    const byClaim = new Map<string, string>();
    const claims: FakeClaims = {
        released: [],
        recorded: [],
        unavailable: false,
        before: () => Promise.resolve(),
        claim: async ({ team, keyHash, bodyHash }) => {
            await claims.before();
            const key = `${team} ${keyHash}`;
            const known = keys.get(key);
            if (claims.unavailable) {
                return { kind: "unavailable", retryAfterMilliseconds: 3_000 };
            }
            if (known !== undefined) {
                return known.bodyHash === bodyHash ? known.result : { kind: "mismatch" };
            }
            const claim = `claim-${keys.size + 1}`;
            byClaim.set(claim, key);
            keys.set(key, { bodyHash, result: { kind: "in-progress", owner: "other-daemon", claimedAt: 0 } });
            return { kind: "held", claim };
        },
        release: claim => {
            claims.released.push(claim);
            keys.delete(byClaim.get(claim) ?? "");
        },
        record: (claim, outcome, status, answer?: RecordedResponse) => {
            claims.recorded.push({ claim, outcome, status });
            const known = keys.get(byClaim.get(claim) ?? "");
            if (known !== undefined) {
                known.result = { kind: "completed", outcome, status, ...(answer === undefined ? {} : { answer }) };
            }
        },
    };
    return claims;
}

/** Fakes that a dispatcher is created with. */
export interface FakeOptions {
    readonly engines: EngineClient;
    readonly services: ServiceClient;
    readonly groups: GroupView;
    readonly claims: Claims;
    readonly table: TableView;
    readonly counts?: Record<string, number>;
    readonly now?: () => number;
}

/** Creates the options of a dispatcher with fake ports and the real decisions of the core. */
export function createOptions(fakes: FakeOptions): DispatcherOptions {
    const { table, counts = {}, now = () => performance.now() } = fakes;
    const random = xoroshiro128plus(1);
    return {
        ...fakes,
        clock: { monotonic: now, wall: () => 0 },
        table: createPublished(table),
        admission: createAdmission(),
        shares: createPublished(
            table.rows.flatMap(({ row }) =>
                row.kind === "team" ? [{ team: row.name, weight: 1, queueLength: row.queueLength }] : []
            ),
        ),
        retries: createRetryPolicy(random),
        createRouter: () => createRouter({ random }),
        metrics: {
            increment: (name, count = 1) => {
                counts[name] = (counts[name] ?? 0) + count;
            },
            gauge: () => undefined,
            timing: () => undefined,
        },
        log: {
            emit: name => {
                counts[name] = (counts[name] ?? 0) + 1;
            },
        },
        tracer: { start: () => ({ traceparent: "", setAttribute: () => undefined, end: () => undefined }) },
        random: () => 0,
        concurrencyPerGroup: 16,
    };
}
