/** Fakes for tests of the relay: connections whose responses the test provides, and a caller that records what it gets. */
import {
    admitRoute,
    createDemandMeter,
    createLoadTracker,
    createRetryBudget,
    createRouteLookup,
    createRouteTimes,
    createSlidingMaximum,
    type EngineProfile,
    type PartStatement,
    type Route,
    type RouteKind,
    type Target,
} from "@damaskvale/core";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { createSharedFailures } from "../../outliers/sharedfailures.js";
import { createSharedSpeeds } from "../../peers/sharedspeeds.js";
import type { EventLog } from "../../ports/eventlog.js";
import type { CallerRequest, RelayProtocol, ResponseHead, TargetStatements } from "../../ports/relayprotocol.js";
import { createStreamAdmission } from "../../shedding/streamadmission.js";
import type { RelayParts, RequestContext } from "../requestcontext.js";
import { createRequestQuarantine, type RequestQuarantine } from "../requestquarantine.js";
import { createStalledHeads } from "../stalledheads.js";
import { createRelayState } from "../state.js";
import { createTargetAvailability } from "../targetavailability.js";
import type { ResponseReceiver, TargetRequest } from "../targetconnections.js";
import type { TargetReachability } from "../targetreachability.js";

/** One request that the relay sent, and the receiver through which the test responds to it. */
export interface FakeSend {
    readonly address: string;
    readonly request: TargetRequest;
    readonly receiver: ResponseReceiver;
    cancelled: boolean;
}

/** Response as the caller received it. */
export interface FakeCaller {
    status?: number;
    headers: readonly string[];
    body: string;
    ended: boolean;
    destroyed: boolean;
    /** Closes the caller's connection. */
    leave(): void;
}

/** Collaborators, context and recorded effects of one relayed request. */
export interface RelayFixture {
    readonly sends: FakeSend[];
    /** Heads that the relay reported as unusable. */
    readonly unusableHeads: string[];
    readonly caller: FakeCaller;
    readonly parts: RelayParts;
    readonly context: RequestContext;
    readonly events: { readonly name: string; readonly fields: Readonly<Record<string, unknown>>; }[];
}

/** Options of {@link createRelayFixture}. */
export interface RelayFixtureOptions {
    readonly kind: RouteKind;
    readonly resumable?: boolean;
    readonly maximumAttempts?: number;
    readonly timeoutMilliseconds?: number;
    readonly targets?: readonly string[];
    readonly lastEventId?: number;
    /** Shared parts of the prompt. */
    readonly promptParts?: readonly string[];
    /** Whether this daemon reaches targets; it does by default. */
    readonly reachability?: TargetReachability;
    /** Whether the processes of targets answer; they do by default. */
    readonly isTargetAlive?: () => Promise<boolean>;
    /** Hands the request over; no daemon takes it by default. */
    readonly handOver?: () => boolean;
    /** Identity of the request, if it can be quarantined. */
    readonly identity?: string;
    /** Targets that have stated a limit and got the last request that it allows. */
    readonly limitedTargets?: readonly string[];
    /** Targets that have turned this daemon away for {@link REST_MILLISECONDS}. */
    readonly restingTargets?: readonly string[];
    /** Targets that have said that they leave. */
    readonly leavingTargets?: readonly string[];
    /** Retries that the budget allows. */
    readonly retries?: number;
    /** Whether the targets of a data centre get no requests; all get some by default. */
    readonly isEvacuated?: (dataCentre: string) => boolean;
}

/** Statements of a target that says nothing of itself. */
export const noStatements: TargetStatements = { rate: { kind: "unlimited" }, rest: { kind: "none" }, leaving: false };

/** Receiver of a response that does not matter. */
export const noResponse: ResponseReceiver = {
    sent: () => undefined,
    head: () => undefined,
    data: () => undefined,
    ended: () => undefined,
    failed: () => undefined,
};

/** Reachability of a daemon that reaches all targets. */
export const reachesTargets: TargetReachability = {
    recordReached: () => undefined,
    recordMissed: () => undefined,
    isCutOff: () => false,
    isDoubtful: () => false,
    onChange: () => undefined,
    stop: () => undefined,
};

/** Time for which resting targets want no requests. */
export const REST_MILLISECONDS = 10_000;

/** Response heads, encoded for the fake protocol. */
export const responseHeads = {
    stream: { status: 200, headers: { "request-id": "r1", "stamp": "s1" }, delimited: true },
    ok: { status: 200, headers: { "request-id": "r1" }, delimited: true },
    foreign: { status: 200, headers: { "request-id": "r0" }, delimited: true },
    notRun: { status: 503, headers: { "request-id": "r1", "not-run": "1" }, delimited: true },
    misdirected: { status: 421, headers: { "not-run": "1", "misdirected": "1" }, delimited: true },
    silent503: { status: 503, headers: { "request-id": "r1" }, delimited: true },
    limited: { status: 200, headers: { "request-id": "r1", "rate": "0.1" }, delimited: true },
    error: { status: 500, headers: { "request-id": "r1", "stamp": "s1" }, delimited: true },
} as const satisfies Record<string, ResponseHead>;

const engine = {
    slots: 18,
    stepsPerPass: 6,
    models: [{ name: "m", size: 1, share: 1, pace: 1, loadMilliseconds: 1, warmMilliseconds: 1 }],
    baseStepMilliseconds: 6,
    stepMillisecondsPerSequence: 0.1,
    stepMillisecondsPerThousandContextTokens: 0,
    prefillTokensPerSecond: 50_000,
    prefillMillisecondsPerMillionPairs: 0,
    meanPromptTokens: 1_000,
    meanOutputTokens: 150,
} as unknown as EngineProfile;

const protocol: RelayProtocol = {
    decodeRequest: () => {
        throw new Error("The fixture does not decode requests.");
    },
    encodeForTarget: (...[, fields]) => Object.entries(fields).flatMap(([name, value]) => [name, String(value)]),
    encodeForDaemon: (...[, fields]) => Object.entries(fields).flatMap(([name, value]) => [name, String(value)]),
    decodeResponse: ({ headers }) => ({
        notRun: headers["not-run"] !== undefined,
        misdirected: headers["misdirected"] !== undefined,
        requestId: headers["request-id"] as string | undefined,
        statements: {
            rate: headers["rate"] === undefined
                ? { kind: "unlimited" }
                : { kind: "limited", requestsPerSecond: Number(headers["rate"]) },
            rest: headers["rest"] === undefined
                ? { kind: "none" }
                : { kind: "resting", milliseconds: Number(headers["rest"]) },
            leaving: headers["leaving"] !== undefined,
        },
        forwarded: Object.entries(headers).flat() as string[],
    }),
};

/** Quarantines a part as if another daemon had told it. */
export function quarantinePart(
    quarantine: Pick<RequestQuarantine, "merge">,
    fields: Partial<PartStatement> = {},
): void {
    const statement: PartStatement = {
        part: "bad",
        revision: 1,
        state: "quarantined",
        statedAt: performance.now(),
        crashes: 3,
        cause: "crashes",
        trials: 0,
        wasProven: false,
        isAmbiguous: false,
        ...fields,
    };
    quarantine.merge({ crashes: [], proven: [], statements: [statement] }, "daemon-1");
}

/** Creates a fixture with one request. */
export function createRelayFixture(options: RelayFixtureOptions): RelayFixture {
    const stream = options.kind === "stream";
    const state = createRelayState(undefined, options.isEvacuated);
    const route: Route = {
        name: "route",
        hostname: "h",
        prefix: "/",
        kind: options.kind,
        resumable: options.resumable ?? false,
        maximumAttempts: options.maximumAttempts ?? 2,
        timeoutMilliseconds: options.timeoutMilliseconds ?? 8_000,
        latencyObjectiveMilliseconds: 400,
        priority: 1,
        isPublic: true,
        targets: [{ service: "pool", weight: 1 }],
    };
    state.applyConfiguration({
        version: 1,
        routes: [route],
        services: [{ name: "pool", healthPath: "/", maximumConnections: 9, engine: stream ? engine : undefined }],
        limits: { headerBytes: 9_999, bodyBytes: 9, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
    });
    state.replaceTargets((options.targets ?? ["a", "b"]).map(id => targetOf(id, stream)));
    const lookup = state.lookup() ?? createRouteLookup({} as never);
    const admitted = admitRoute(lookup, { hostname: "h", path: "/" });
    if (typeof admitted === "string") {
        throw new Error(admitted);
    }
    const sends: FakeSend[] = [];
    const unusableHeads: string[] = [];
    const events: { name: string; fields: Readonly<Record<string, unknown>>; }[] = [];
    const clock = { monotonic: () => performance.now(), wall: () => Date.now() };
    const log: EventLog = { emit: (name, fields = {}) => void events.push({ name, fields }) };
    const availability = createTargetAvailability({
        clock,
        log,
        self: { daemon: "daemon-0", dataCentre: "x" },
        reachableDaemons: () => [],
        knownDaemons: () => 1,
        state,
    });
    const recordStatements = (id: string, stated: Partial<TargetStatements>): void =>
        availability.recordResponse({ target: { id }, sentAt: 0 }, {
            status: 503,
            statements: { ...noStatements, ...stated },
        });
    options.limitedTargets?.forEach(id => recordStatements(id, { rate: { kind: "limited", requestsPerSecond: 0.1 } }));
    options.restingTargets?.forEach(id =>
        recordStatements(id, { rest: { kind: "resting", milliseconds: REST_MILLISECONDS } })
    );
    options.leavingTargets?.forEach(id => recordStatements(id, { leaving: true }));
    const requestQuarantine = createRequestQuarantine({
        clock,
        log,
        self: "daemon-0",
        reachableDaemons: () => [],
        knownDaemons: () => 1,
        isCutOff: () => options.reachability?.isCutOff() === true,
    });
    const loadTracker = createLoadTracker();
    const demand = createDemandMeter();
    const budget = createRetryBudget({ ratio: 0, minimumPerSecond: (options.retries ?? 5) / 10 });
    const { caller, response } = createCaller();
    return {
        sends,
        unusableHeads,
        caller,
        events,
        parts: {
            clock,
            log,
            protocol,
            state,
            connections: {
                send: (address, request, receiver) => {
                    const send: FakeSend = { address, request, receiver, cancelled: false };
                    sends.push(send);
                    return {
                        cancel: () => {
                            send.cancelled = true;
                        },
                        pause: () => undefined,
                        pauseFor: () => undefined,
                        resume: () => undefined,
                    };
                },
                renew: () => undefined,
                isConnected: () => false,
            },
            loadTracker,
            availability,
            requestQuarantine,
            reachability: options.reachability ?? reachesTargets,
            speeds: createSharedSpeeds(clock, log),
            failures: createSharedFailures(false, clock, log),
            routeTimes: createRouteTimes(),
            stalledHeads: createStalledHeads({ clock, log, loadTracker }),
            isTargetAlive: options.isTargetAlive ?? (() => Promise.resolve(true)),
            headUnusable: head => void unusableHeads.push(head),
            dataCentre: "x",
            peerLoadOf: () => ({ inProgress: 0, pendingPromptTokens: 0 }),
            recentGroupCounts: createSlidingMaximum(10_000),
            demandOf: () => demand,
            budgetOf: () => budget,
            admission: createStreamAdmission({ clock, log, random: () => 0, knownDaemons: () => 1 }),
            random: () => 0,
        },
        context: {
            request: requestOf(stream, options),
            body: Buffer.from("body"),
            response,
            lookup,
            admitted,
            service: "pool",
            subjects: [...options.promptParts ?? [], ...options.identity === undefined ? [] : [options.identity]],
            receivedAt: performance.now(),
            handOver: options.handOver ?? (() => false),
            deadlineAt: performance.now() + route.timeoutMilliseconds,
        },
    };
}

function targetOf(id: string, stream: boolean): Target {
    return {
        id,
        service: "pool",
        address: `${id}:1`,
        dataCentre: "x",
        draining: false,
        registered: true,
        slots: 6,
        domain: stream ? "d" : undefined,
        stagedModels: [],
        model: "m",
        busy: false,
        entryNumber: 0,
        membership: stream ? { group: `d~m~1.${id}`, epoch: 1, rank: 0, state: "open" } : undefined,
    };
}

function requestOf(
    stream: boolean,
    { lastEventId, promptParts = [] }: Pick<RelayFixtureOptions, "lastEventId" | "promptParts">,
): CallerRequest {
    return {
        method: "POST",
        path: "/",
        hostname: "h",
        id: "r1",
        lastEventId,
        model: stream ? "m" : undefined,
        promptTokens: 100,
        promptParts,
        maximumOutputTokens: 100,
        forwarded: [],
    };
}

function createCaller(): { readonly caller: FakeCaller; readonly response: ServerResponse; } {
    const emitter = new EventEmitter();
    const caller: FakeCaller = {
        headers: [],
        body: "",
        ended: false,
        destroyed: false,
        leave: () => void emitter.emit("close"),
    };
    const response = Object.assign(emitter, {
        headersSent: false,
        destroyed: false,
        writableLength: 0,
        req: { complete: true },
        getHeaderNames: () => [],
        setHeader: () => undefined,
        writeHead: (status: number, headers: readonly string[]) => {
            caller.status = status;
            caller.headers = headers;
            response.headersSent = true;
            return response;
        },
        write: (chunk: Buffer) => {
            caller.body += chunk.toString();
            return true;
        },
        end: (chunk?: Buffer | string) => {
            caller.body += chunk?.toString() ?? "";
            caller.ended = true;
            process.nextTick(() => emitter.emit("close"));
            return response;
        },
        destroy: () => {
            caller.destroyed = true;
            response.destroyed = true;
            process.nextTick(() => emitter.emit("close"));
            return response;
        },
    });
    return { caller, response: response as unknown as ServerResponse };
}
