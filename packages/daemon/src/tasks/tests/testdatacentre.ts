/** A data centre with fake engines, a fake log and real tasks of several daemons, on a fake clock. */
import { type GroupsBody, groupsFold, type GroupsState, type ListedHost, type MemberInfo } from "@damaskvale/core";
import { type Clock as FakeClock, install } from "@sinonjs/fake-timers";
import { Err, Ok } from "ts-results";
import type { Order } from "../../ports/engine.js";
import { type GroupsOptions, GroupsTask } from "../groups.js";
import { GroupViewTask } from "../groupview.js";
import { HostsTask } from "../hosts.js";
import type { MembersView } from "../membership.js";
import { ObserverTask } from "../observer.js";
import { createPublished } from "../published.js";
import { FakeEngine, fakeEngineClient, fakeHosts, FakeLog, type FakeStream, fakeTable, noMetrics } from "./fakes.js";

/** One daemon of the test data centre. */
export interface TestDaemon {
    readonly name: string;
    readonly stream: FakeStream<GroupsState, GroupsBody>;
    readonly groups: GroupsTask;
    readonly view: GroupViewTask;
    readonly observer: ObserverTask;
    /** Sets the daemons that this one considers live. */
    setLiveDaemons(...names: string[]): void;
    readonly logged: string[];
}

/** Options of a test data centre. */
export interface TestDataCentreOptions {
    readonly hosts: readonly string[];
    readonly daemons?: readonly string[];
    readonly model?: Parameters<typeof fakeTable>[0];
    readonly groups?: Partial<GroupsOptions>;
    /** Called when a daemon sends an order, after its checks. */
    readonly onOrder?: (daemon: string, host: string, order: Order) => void;
    /** Time until a record is read back. */
    readonly lagMilliseconds?: number;
}

/** Data centre of a test. Daemons that consider each other live share observations, as the membership task does. */
export class TestDataCentre {
    readonly clock: FakeClock = install();
    readonly engines: ReadonlyMap<string, FakeEngine>;
    readonly log;
    readonly table = createPublished(fakeTable({}));
    readonly daemons: readonly TestDaemon[];
    listed: ListedHost[];
    listFails = false;
    private readonly stops: (() => unknown)[] = [];

    constructor(options: TestDataCentreOptions) {
        this.log = new FakeLog(groupsFold, options.lagMilliseconds);
        this.engines = new Map(options.hosts.map(host => [host, new FakeEngine(host)]));
        this.listed = fakeHosts(options.hosts);
        this.table.publish(fakeTable(options.model ?? {}));
        const names = options.daemons ?? ["d1"];
        this.daemons = names.map(name => this.daemon(name, names, options));
    }

    engine(host: string): FakeEngine {
        return this.engines.get(host) as FakeEngine;
    }

    daemonNamed(name: string): TestDaemon {
        return this.daemons.find(daemon => daemon.name === name) as TestDaemon;
    }

    /** Groups of the log, as folded by a reader that is never disconnected. */
    groups(): GroupsState["groups"] {
        return this.log.follow("reader", "1").folded.current().state.groups;
    }

    async run(milliseconds: number): Promise<void> {
        await this.clock.tickAsync(milliseconds);
    }

    async stop(): Promise<void> {
        const stopping = this.stops.map(stop => stop());
        await this.run(5_000);
        await Promise.all(stopping);
        this.clock.uninstall();
    }

    private daemon(name: string, names: readonly string[], options: TestDataCentreOptions): TestDaemon {
        const clock = { monotonic: () => performance.now(), wall: () => Date.now() };
        const logged: string[] = [];
        const eventLog = {
            emit: (event: string, fields?: unknown) => logged.push(`${event} ${JSON.stringify(fields)}`),
        };
        const stream = this.log.follow(name, "1");
        const members = createPublished<MembersView>(view(name, names));
        const engine = fakeEngineClient(name, this.engines, options.onOrder);
        const list = { list: async () => this.listFails ? Err("down") : Ok(this.listed) };
        const common = { dataCentre: "dc", clock, metrics: noMetrics, eventLog, table: this.table, members, engine };
        const hostsTask = new HostsTask({ ...common, list, owned: () => new Set(ownedHosts(stream)) });
        const observer = new ObserverTask({ ...common, hosts: hostsTask.hosts });
        const shared = { ...common, hosts: hostsTask.hosts, observations: observer.observations };
        const groups = new GroupsTask({ ...shared, daemon: name, incarnation: "1", stream, ...options.groups });
        const groupView = new GroupViewTask({ ...shared, folded: stream.folded });
        [hostsTask, observer, groups].forEach(task => task.start());
        const sharing = setInterval(() => {
            const sentAt = clock.monotonic();
            members.current().live.filter(({ daemon }) => daemon !== name).forEach(({ daemon }) =>
                observer.merge(this.daemonNamed(daemon).observer.sharedObservations(), sentAt)
            );
        }, 500);
        this.stops.push(
            () => hostsTask.stop(),
            () => observer.stop(),
            () => groups.stop(),
            () => clearInterval(sharing),
        );
        return {
            name,
            stream,
            groups,
            view: groupView,
            observer,
            logged,
            setLiveDaemons: (...seen) => members.publish(view(name, seen)),
        };
    }
}

function ownedHosts(stream: FakeStream<GroupsState, GroupsBody>): string[] {
    return Object.values(stream.folded.current().state.groups).flatMap(group => group.members);
}

function view(name: string, names: readonly string[]): MembersView {
    const live = names.map((daemon): MemberInfo => ({
        daemon,
        dataCentre: "dc",
        address: daemon,
        incarnation: "1",
        revision: 0,
        state: "alive",
    }));
    const self = live.find(({ daemon }) => daemon === name) as MemberInfo;
    return { self, live, others: [] };
}
