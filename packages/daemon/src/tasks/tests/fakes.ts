/** Fakes for tests of the groups and membership tasks: a log that several daemons follow, and engines. */
import {
    applyEntry,
    type Decision,
    type FoldDefinition,
    type FoldState,
    initialFoldState,
    type ListedHost,
    RECORD_VERSION,
    type Report,
    type RowOf,
} from "@damaskvale/core";
import { Err, Ok, type Result } from "ts-results";
import type { EngineClient, Order, TargetFailure } from "../../ports/engine.js";
import type { Metrics } from "../../ports/metrics.js";
import type { AppendFailure, Stream, StreamHealth } from "../../ports/stream.js";
import type { TableView } from "../../ports/tableview.js";
import { createPublished } from "../published.js";

/** Metrics that are discarded. */
export const noMetrics: Metrics = { increment: () => undefined, gauge: () => undefined, timing: () => undefined };

/** Fake of the platform's log with one stream, which each reader folds independently. */
export class FakeLog<State, Body> {
    readonly values: unknown[] = [];
    private readonly readers = new Set<FakeStream<State, Body>>();

    constructor(readonly definition: FoldDefinition<State, Body>, readonly lagMilliseconds = 0) {}

    follow(daemon: string, incarnation: string): FakeStream<State, Body> {
        const reader = new FakeStream(this, { daemon, incarnation });
        this.readers.add(reader);
        reader.read();
        return reader;
    }

    write(value: unknown): void {
        this.values.push(value);
        const length = this.values.length;
        this.readers.forEach(reader => {
            if (this.lagMilliseconds === 0) {
                reader.read();
            }
            else {
                setTimeout(() => reader.read(length), this.lagMilliseconds);
            }
        });
    }
}

/** Follower of the fake log. While `cut` is set, it neither reads nor appends. */
export class FakeStream<State, Body> implements Stream<State, Body> {
    readonly name = "groups.dc";
    readonly folded;
    cut = false;
    /** Whether answers of appends are lost although the record gets into the log. */
    loseAnswers = false;
    private count = 0;

    constructor(
        private readonly log: FakeLog<State, Body>,
        private readonly author: { readonly daemon: string; readonly incarnation: string; },
    ) {
        this.folded = createPublished<FoldState<State>>(initialFoldState(log.definition));
    }

    read(length = this.log.values.length): void {
        while (!this.cut && this.folded.current().nextOffset < length) {
            const folded = this.folded.current();
            const entry = { offset: folded.nextOffset, time: 0, value: this.log.values[folded.nextOffset] };
            this.folded.publish(applyEntry(this.log.definition, folded, entry).folded);
        }
    }

    health(): StreamHealth {
        return {
            stream: this.name,
            nextOffset: this.folded.current().nextOffset,
            platformReachable: !this.cut,
            caughtUp: true,
            freshAt: performance.now(),
            source: "platform",
        };
    }

    async append(body: Body): Promise<Result<Decision, AppendFailure>> {
        this.count += 1;
        const id = `${this.author.daemon}-${this.author.incarnation}-${this.count}`;
        const basis = this.folded.current().nextOffset;
        if (this.cut) {
            return Err({ kind: "refused" as const, message: "the platform is not reachable" });
        }
        this.log.write({ version: RECORD_VERSION, id, author: this.author, basis, body });
        if (this.log.lagMilliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, this.log.lagMilliseconds + 1));
        }
        const decision = this.folded.current().decisions.get(id);
        return decision === undefined || this.loseAnswers
            ? Err({ kind: "ambiguous" as const, message: "the answer was lost" })
            : Ok(decision);
    }
}

/** Fake engine that loads weights instantly. */
export class FakeEngine {
    role: { group: string; fence: number; model?: string; version?: string; } | undefined;
    /** Orders that were executed, in order. */
    readonly executed: Order[] = [];
    highestFence = 0;
    silent = false;
    enforcesFence = true;
    loseNextAnswer = false;
    reportDelayMilliseconds = 0;
    /** Delay between the lease check of an order and its arrival, by daemon, in milliseconds. */
    readonly orderDelays = new Map<string, number>();
    /** Daemons that cannot reach the engine. */
    readonly unreachableFrom = new Set<string>();

    constructor(readonly host: string) {}

    report(): Report {
        const load = { running: 0, queued: 0, ageMilliseconds: 0 };
        return {
            host: this.host,
            incarnation: "1",
            state: this.role === undefined ? "idle" : "ready",
            load,
            ...this.role,
        };
    }

    /** Restarts without a role and without the highest fencing token. */
    restart(): void {
        this.role = undefined;
        this.highestFence = 0;
        this.executed.length = 0;
    }

    /** Takes the role of its first assignment again, as after a restart from an old image. */
    returnWithOldRole(): void {
        const old = this.executed.find(({ order }) => order === "assign");
        if (old !== undefined) {
            const { group, fence, model, version } = old;
            this.role = { group, fence, model, version };
        }
    }

    apply(order: Order): boolean {
        if (this.enforcesFence && order.fence < this.highestFence) {
            return false;
        }
        this.highestFence = Math.max(this.highestFence, order.fence);
        this.executed.push(order);
        const { group, fence, model, version } = order;
        this.role = order.order === "assign" ? { group, fence, model, version } : undefined;
        return true;
    }
}

/** Client of fake engines. URLs are `http://HOST`. */
export function fakeEngineClient(
    daemon: string,
    engines: ReadonlyMap<string, FakeEngine>,
    onOrder: (daemon: string, host: string, order: Order) => void = () => undefined,
): EngineClient {
    const reach = (url: string): FakeEngine | undefined => {
        const engine = engines.get(new URL(url).hostname);
        return engine === undefined || engine.silent || engine.unreachableFrom.has(daemon) ? undefined : engine;
    };
    const silent: TargetFailure = { kind: "silent", message: "no answer in time" };
    const wait = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));
    const unused = () => {
        throw new Error("not used in these tests");
    };
    return {
        report: async (url, timeoutMilliseconds) => {
            const engine = reach(url);
            const delay = engine?.reportDelayMilliseconds ?? timeoutMilliseconds;
            await wait(Math.min(delay, timeoutMilliseconds));
            return engine === undefined || delay >= timeoutMilliseconds ? Err(silent) : Ok(engine.report());
        },
        order: async (url, order, timeoutMilliseconds) => {
            onOrder(daemon, new URL(url).hostname, order);
            const engine = reach(url);
            if (engine === undefined) {
                await wait(timeoutMilliseconds);
                return Err(silent);
            }
            const delay = engine.orderDelays.get(daemon) ?? 0;
            if (delay > 0) {
                void wait(delay).then(() => engine.apply(order));
                await wait(timeoutMilliseconds);
                return Err(silent);
            }
            if (!engine.apply(order)) {
                return Err({ kind: "refused", message: "old fencing token", status: 409 });
            }
            const lost = engine.loseNextAnswer;
            engine.loseNextAnswer = false;
            return lost ? Err(silent) : Ok.EMPTY;
        },
        complete: unused,
        resume: unused,
        cancel: unused,
    };
}

/** Hosts named `DOMAIN`+number, such as `a1`, all live. */
export function fakeHosts(names: readonly string[]): ListedHost[] {
    return names.map(host => ({
        host,
        dataCentre: "dc",
        fabricDomain: host.slice(0, 1),
        url: `http://${host}`,
        state: "live",
        accelerators: 1,
    }));
}

/** Table with one model and draining targets. */
export function fakeTable(model: Partial<RowOf<"model">>, draining: readonly string[] = []): TableView {
    const row: RowOf<"model"> = {
        kind: "model",
        name: "m",
        version: "1",
        members: 2,
        replicas: 1,
        dataCentres: [],
        spares: 0,
        downtimeWeight: 1,
        strandedWeight: 1,
        ...model,
    };
    return {
        nextOffset: 1,
        rows: [{ key: `model:${row.name}`, revision: 1, row }],
        model: name => name === row.name ? row : undefined,
        team: () => undefined,
        teamByKeyHash: () => undefined,
        target: name =>
            draining.includes(name)
                ? { kind: "target", name, weight: 1, state: "draining", fencing: "ignored" }
                : undefined,
        service: () => undefined,
        call: () => undefined,
        rule: () => undefined,
    };
}
