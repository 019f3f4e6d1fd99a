/** Recorder of a session: requests, answers and executions as callers, operators and targets see them, in order. */
import type { FaultRequest, JournalEntry } from "@damaskvale/stand-ins";
import { type Cluster, secrets } from "../cluster/cluster.js";
import { clearFaults, fetchJson, readJournal, setFault } from "../cluster/control.js";
import { CALLER_KEY } from "../failures/callers.js";
import { createNormaliser } from "./normalise.js";

/** One request of a caller. */
export interface CallerRequest {
    readonly method?: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    /** Index of the daemon that receives the request. */
    readonly daemon?: number;
    /** Caller key; an empty one sends no `authorization` header. */
    readonly key?: string;
}

/** One recorded step of a session. */
export interface RecordedStep {
    readonly actor: "caller" | "operator" | "target" | "fault";
    readonly action: unknown;
    readonly saw: unknown;
}

/** Recorder of one session. */
export interface Recorder {
    caller(request: CallerRequest): Promise<void>;
    operator(method: "GET" | "POST", path: string, body?: unknown, daemon?: number): Promise<void>;
    fault(target: "platform" | "service" | "engines", fault: FaultRequest): Promise<void>;
    heal(): Promise<void>;
    /** Records what the targets executed since the last call. */
    targets(): Promise<void>;
    steps(): unknown;
}

const RECORDED_HEADERS = [
    "content-type",
    "x-damaskvale-outcome",
    "x-damaskvale-request-id",
    "www-authenticate",
    "allow",
];

/** Starts recording on a cluster. Earlier journal entries are left out. */
export async function createRecorder(cluster: Cluster): Promise<Recorder> {
    const steps: RecordedStep[] = [];
    const targets = [...cluster.engines, ...cluster.services];
    const recordedCounts = new Map(
        await Promise.all(
            targets.map(async ({ name, url }) => [name, (await readJournal(url)).length] as const),
        ),
    );
    const targetUrls = {
        platform: [cluster.platform.url],
        service: cluster.services.map(({ url }) => url),
        engines: cluster.engines.map(({ url }) => url),
    };
    const add = (actor: RecordedStep["actor"], action: unknown, saw: unknown): void => {
        steps.push({ actor, action, saw });
    };
    return {
        caller: async request => add("caller", request, await send(cluster, request)),
        operator: async (method, path, body, daemon = 0) => {
            const url = `${cluster.daemons[daemon]!.url}/control/v1/${path}`;
            const answer = await fetchJson(url, { method, body, token: secrets.operatorToken });
            add("operator", { method, path, body, daemon }, { status: answer.status, body: answer.body });
        },
        fault: async (target, fault) => {
            await Promise.all(targetUrls[target].map(url => setFault(url, fault)));
            add("fault", { target, ...fault }, {});
        },
        heal: async () => {
            await Promise.all(Object.values(targetUrls).flat().map(clearFaults));
            add("fault", { fault: "clear" }, {});
        },
        targets: async () => {
            const journals = await Promise.all(targets.map(async ({ name, url }) => {
                const journal = await readJournal(url);
                const newEntries = journal.slice(recordedCounts.get(name)!);
                recordedCounts.set(name, journal.length);
                return newEntries.map(entry => describeEntry(name, entry));
            }));
            add("target", "executed since the last look", journals.flat());
        },
        steps: () => normaliserOf(cluster).normalise(steps),
    };
}

/** Returns an entry without the body hash if it is an order: the body contains ports, so the hash differs between runs. */
function describeEntry(target: string, { bodyHash, ...entry }: JournalEntry) {
    return { target, ...entry, ...(entry.kind === "order" ? {} : { bodyHash }) };
}

async function send(cluster: Cluster, request: CallerRequest): Promise<unknown> {
    const { method = "POST", path, headers = {}, body, daemon = 0, key = CALLER_KEY } = request;
    const response = await fetch(`${cluster.daemons[daemon]!.url}${path}`, {
        method,
        headers: {
            ...(key === "" ? {} : { authorization: `Bearer ${key}` }),
            ...(body === undefined ? {} : { "content-type": "application/json" }),
            ...headers,
        },
        body: body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body),
        signal: AbortSignal.timeout(30_000),
    });
    const text = await response.text();
    const recordedHeaders = RECORDED_HEADERS.filter(name => response.headers.has(name)).map(name =>
        [name, response.headers.get(name)] as const
    );
    return {
        status: response.status,
        headers: {
            ...Object.fromEntries(recordedHeaders),
            ...(response.headers.has("retry-after") ? { "retry-after": "<SECONDS>" } : {}),
        },
        body: response.headers.get("content-type")?.startsWith("text/event-stream") === true
            ? text.split("\n").filter(line => line !== "")
            : parse(text),
    };
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
}

function normaliserOf(cluster: Cluster) {
    const processes = [cluster.platform, ...cluster.engines, ...cluster.services, ...cluster.daemons];
    const known = new Map(processes.map(({ name, url }) => [url, `<URL of ${name}>`] as const));
    const daemonNames = cluster.daemons.map(({ name }) => name).join("|");
    return createNormaliser(known, new RegExp(`(?:${daemonNames})-[0-9A-Za-z_.-]*[0-9A-Za-z]`, "g"));
}
