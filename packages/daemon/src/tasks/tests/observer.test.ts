import type { ListedHost, MemberInfo } from "@damaskvale/core";
import { install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { Ok } from "ts-results";
import { HostsTask } from "../hosts.js";
import type { MembersView } from "../membership.js";
import { ObserverTask } from "../observer.js";
import { createPublished } from "../published.js";
import { FakeEngine, fakeEngineClient, fakeHosts, fakeTable, noMetrics } from "./fakes.js";

const member = (daemon: string): MemberInfo => ({
    daemon,
    dataCentre: "dc",
    address: daemon,
    incarnation: "1",
    revision: 0,
    state: "alive",
});
const liveMembers = ["d1", "d2", "d3", "d4"].map(member);
const hosts = Array.from("0123456789", digit => `a${digit}`);

describe("observer and hosts tasks", () => {
    let timers: ReturnType<typeof install>;
    let listed: ListedHost[];
    let stops: (() => void)[];
    const engines = () => new Map(hosts.map(host => [host, new FakeEngine(host)]));
    const startTasks = (name: string, reachable: ReturnType<typeof engines>, owned: string[] = []) => {
        const members = createPublished<MembersView>({ self: member(name), live: liveMembers, others: [] });
        const common = {
            dataCentre: "dc",
            clock: { monotonic: () => performance.now(), wall: () => Date.now() },
            metrics: noMetrics,
            eventLog: { emit: () => undefined },
            members,
            table: createPublished(fakeTable({})),
        };
        const list = new HostsTask({ ...common, list: { list: async () => Ok(listed) }, owned: () => new Set(owned) });
        const observer = new ObserverTask({ ...common, hosts: list.hosts, engine: fakeEngineClient(name, reachable) });
        [list, observer].forEach(task => task.start());
        stops.push(() => list.stop(), () => observer.stop());
        return { list, observer };
    };

    beforeEach(() => {
        timers = install();
        listed = fakeHosts(hosts);
        stops = [];
    });
    afterEach(() => {
        stops.forEach(stop => stop());
        timers.uninstall();
    });

    it("polls every host from exactly two daemons", async () => {
        const reachable = engines();
        const observers = liveMembers.map(({ daemon }) => startTasks(daemon, reachable).observer);
        await timers.tickAsync(1_100);
        const polled = observers.flatMap(observer => observer.sharedObservations().map(({ report }) => report.host))
            .toSorted();
        expect(polled).to.deep.equal(hosts.flatMap(host => [host, host]));
    });

    it("counts the age of a shared observation from the probe, so that a late answer does not appear fresh", async () => {
        const { observer } = startTasks("d1", new Map());
        await timers.tickAsync(600);
        const report = new FakeEngine("a1").report();
        observer.merge([{ report, ageMilliseconds: 300 }], 200);
        expect(observer.observations.current().get("a1")?.observedAt).to.equal(-100);
        observer.merge([{ report, ageMilliseconds: 400 }], 200);
        expect(observer.observations.current().get("a1")?.observedAt).to.equal(-100);
        observer.merge([{ report: { ...report, group: "g", fence: 2 }, ageMilliseconds: 900 }], 200);
        expect(observer.observations.current().get("a1")?.report.fence).to.equal(2);
    });

    it("ignores the report of another host at the same address", async () => {
        const reachable = new Map(hosts.map(host => [host, new FakeEngine("other")]));
        const { observer } = startTasks("d1", reachable);
        await timers.tickAsync(2_000);
        expect(observer.observations.current().size).to.equal(0);
    });

    it("keeps a host that disappeared from the list as leaving while a group owns it", async () => {
        const { list } = startTasks("d1", engines(), ["a1"]);
        await timers.tickAsync(100);
        listed = fakeHosts(["a3"]);
        await timers.tickAsync(1_000);
        const seen = [...list.hosts.current().hosts.values()].map(({ host, state }) => `${host} ${state}`);
        expect(seen.toSorted()).to.deep.equal(["a1 leaving", "a3 live"]);
    });
});
