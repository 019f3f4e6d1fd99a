/** Small clusters of the failure tests: one platform, 2 or 3 daemons, up to 5 engines, one service. */
import type { Row, StatusResponse } from "@damaskvale/core";
import { answerTokens } from "@damaskvale/stand-ins";
import { createHash } from "node:crypto";
import { type Cluster, type ClusterSpec, type Daemon, type Engine, startCluster } from "../cluster/cluster.js";
import { clearFaults, fetchJson, readJournal } from "../cluster/control.js";
import { readServing } from "../cluster/serving.js";
import { waitFor } from "../cluster/wait.js";
import { CALLER_KEY, MODEL, sendChat, SERVICE } from "./callers.js";

/** Options of a small cluster. */
export interface SmallClusterOptions {
    readonly daemons: number;
    readonly engines: number;
    readonly members: number;
    readonly replicas: number;
    readonly engineArgs?: readonly string[];
    readonly daemonArgs?: readonly string[];
    readonly relays?: boolean;
}

/** Data centre of the failure tests. */
export const DATA_CENTRE = "pta-hall-a";
const SERVING_TIMEOUT_MILLISECONDS = 30_000;

/** Starts a small cluster, loads its table, and waits until every daemon answers a chat completion. */
export async function startSmallCluster(size: SmallClusterOptions): Promise<Cluster> {
    const cluster = await startCluster(specOf(size));
    try {
        await cluster.daemons[0]!.control.setRows(rowsOf(cluster, size), "everywhere");
        await waitFor(
            "ready groups",
            SERVING_TIMEOUT_MILLISECONDS,
            async () => size.engines === 0 || await countReadyGroups(cluster, size.members) >= size.replicas,
        );
        await Promise.all(cluster.daemons.map(daemon => waitUntilServing(daemon, size)));
        return cluster;
    }
    catch (error) {
        const output = cluster.output(40);
        await cluster.stop();
        throw new Error(`The cluster did not start serving.\n${output}`, { cause: error });
    }
}

/** Waits until a daemon answers a chat completion, or is ready if there are no engines. */
export function waitUntilServing(daemon: Daemon, { engines }: Pick<SmallClusterOptions, "engines">): Promise<boolean> {
    return waitFor(`serving ${daemon.name}`, SERVING_TIMEOUT_MILLISECONDS, async () =>
        engines === 0
            ? (await fetch(`${daemon.url}/readyz`)).ok
            : (await sendChat(daemon, { maxTokens: 1 })).status === 200);
}

/** Waits until every daemon reads every stream from the platform. After an outage, reads restart with jitter. */
export async function waitUntilStreamsReachable({ daemons }: Cluster): Promise<void> {
    await Promise.all(
        daemons.map(({ name, control }) =>
            waitFor(`streams of ${name}`, SERVING_TIMEOUT_MILLISECONDS, async () => {
                const status = (await control.get<StatusResponse>("status")).body.daemons.find(({ daemon }) =>
                    daemon === name
                );
                return status?.state === "ready" && status.streams.every(({ platformReachable }) => platformReachable);
            })
        ),
    );
}

/** Ends all faults of all stand-ins and opens all links. */
export async function healCluster(cluster: Cluster): Promise<void> {
    cluster.daemons.forEach(({ platformLink }) => platformLink?.set("open"));
    const running = [cluster.platform, ...cluster.services, ...cluster.engines].filter(({ child }) => child.running());
    await Promise.all(running.map(({ url }) => clearFaults(url)));
}

/** Waits until a fault of a stand-in has affected a request. */
export function waitUntilFaultApplied(url: string, fault: string): Promise<boolean> {
    return waitFor(`a request that is affected by ${fault}`, 5000, async () => {
        const { body } = await fetchJson<{ faults: { fault: string; used: number; }[]; }>(`${url}/stand-in/faults`);
        return body.faults.some(active => active.fault === fault && active.used > 0);
    });
}

/** Returns the text with which the engines answer a prompt. */
export function expectedText(prompt: string, maxTokens: number, model = MODEL): string {
    return answerTokens({ model, messages: [{ role: "user", content: prompt }], max_tokens: maxTokens }).join("");
}

/** Reads the attempts that the engines executed, with the host of each. */
export async function readAttempts(engines: readonly Engine[]) {
    const journals = await Promise.all(
        engines.map(async ({ name, url }) =>
            (await readJournal(url)).filter(({ kind }) => kind === "attempt").map(entry => ({ ...entry, host: name }))
        ),
    );
    return journals.flat();
}

/** Reads the fencing tokens of the orders that each engine executed, in execution order. */
export function readOrderFencingTokens(engines: readonly Engine[]) {
    return Promise.all(engines.map(async ({ name, url }) => {
        const orders = (await readJournal(url)).filter(({ kind }) => kind === "order");
        return { host: name, orders: orders.map(({ fence }) => fence!) };
    }));
}

/** Reads the changes that the service executed. */
export async function readChanges(cluster: Cluster) {
    return (await readJournal(cluster.services[0]!.url)).filter(({ kind }) => kind === "change");
}

function specOf({ daemons, engines, engineArgs, daemonArgs, relays }: SmallClusterOptions): ClusterSpec {
    return {
        platformArgs: ["--host-lag-milliseconds", "200"],
        daemons: [...Array(daemons).keys()].map(index => ({
            name: `${DATA_CENTRE}-${index + 1}`,
            dataCentre: DATA_CENTRE,
            args: daemonArgs,
        })),
        engines: [...Array(engines).keys()].map(index => ({
            host: `${DATA_CENTRE}-h${index + 1}`,
            dataCentre: DATA_CENTRE,
            fabricDomain: `${DATA_CENTRE}-rack-1`,
            args: engineArgs,
        })),
        services: [{ name: SERVICE }],
        relays,
    };
}

function rowsOf(cluster: Cluster, { members, replicas }: SmallClusterOptions): Row[] {
    return [
        {
            kind: "model",
            name: MODEL,
            version: "1",
            members,
            replicas,
            dataCentres: [],
            spares: 0,
            downtimeWeight: 1,
            strandedWeight: 1,
        },
        {
            kind: "team",
            name: "registry",
            keyHashes: [createHash("sha256").update(CALLER_KEY).digest("hex")],
            models: ["*"],
            services: ["*"],
            weight: 1,
            queueLength: 100,
        },
        {
            kind: "service",
            name: SERVICE,
            urls: cluster.services.map(({ url }) => url),
            timeoutMilliseconds: 10_000,
        },
        { kind: "call", name: "fee-receipts-changes", service: SERVICE, method: "POST", path: "/", repeatable: "no" },
    ];
}

/** Counts the groups whose members are all ready with one fencing token. */
export async function countReadyGroups(cluster: Cluster, members: number): Promise<number> {
    const running = cluster.engines.filter(({ child }) => child.running()).map(({ url }) => url);
    const [serving] = await readServing(running, [{ name: MODEL, members, groups: 0 }]);
    return serving!.ready;
}
