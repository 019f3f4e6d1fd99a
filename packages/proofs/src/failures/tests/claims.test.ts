/**
 * Guards against a second execution of a request that is not repeatable: kills, pauses or disconnects its daemon at each
 * step of the request, then repeats the idempotency key at both daemons.
 */
import { expect } from "chai";
import { setTimeout as delay } from "node:timers/promises";
import type { Cluster, Daemon } from "../../cluster/cluster.js";
import { setFault } from "../../cluster/control.js";
import { type CallerResult, sendChange } from "../callers.js";
import {
    healCluster,
    readChanges,
    startSmallCluster,
    waitUntilFaultApplied,
    waitUntilStreamsReachable,
} from "../fixture.js";

const DEADLINE_MILLISECONDS = 1000;
const PAUSE_MILLISECONDS = 1800;
const REPEATS = 3;
const size = { daemons: 2, engines: 0, members: 1, replicas: 0, relays: true };

type Step = (cluster: Cluster) => Promise<void>;

const service = (cluster: Cluster): string => cluster.services[0]!.url;

/** Steps of a request: `before` sets the fault that holds it at the step, `reached` waits until it is there. */
const steps: Readonly<Record<string, { readonly before: Step; readonly reached: Step; }>> = {
    "the claim is on its way": {
        before: ({ platform }) =>
            setFault(platform.url, { fault: "freeze", route: "/log/claims", method: "POST", count: 1 }),
        reached: ({ platform }) => waitUntilFaultApplied(platform.url, "freeze").then(() => undefined),
    },
    "the claim is taken and its answer is on its way": {
        before: ({ platform }) =>
            setFault(platform.url, { fault: "holdAnswer", route: "/log/claims", method: "POST", count: 1 }),
        reached: ({ platform }) => waitUntilFaultApplied(platform.url, "holdAnswer").then(() => undefined),
    },
    "the read-back of the claim is on its way": {
        before: ({ platform }) => setFault(platform.url, { fault: "holdAnswer", route: "/log/claims", method: "GET" }),
        reached: ({ platform }) => waitUntilFaultApplied(platform.url, "holdAnswer").then(() => delay(100)),
    },
    "the request is dispatched and not executed": {
        before: cluster => setFault(service(cluster), { fault: "freeze", method: "POST" }),
        reached: cluster => waitUntilFaultApplied(service(cluster), "freeze").then(() => undefined),
    },
    "the request is executed and its answer is on its way": {
        before: cluster => setFault(service(cluster), { fault: "holdAnswer", method: "POST" }),
        reached: cluster => waitUntilFaultApplied(service(cluster), "holdAnswer").then(() => undefined),
    },
    "the request is executed and its answer is lost": {
        before: cluster => setFault(service(cluster), { fault: "dropAnswer", method: "POST", count: 1 }),
        reached: cluster => waitUntilFaultApplied(service(cluster), "dropAnswer").then(() => undefined),
    },
    "the record of the outcome is on its way": {
        before: cluster => setFault(service(cluster), { fault: "holdAnswer", method: "POST" }),
        reached: async cluster => {
            await waitUntilFaultApplied(service(cluster), "holdAnswer");
            await setFault(cluster.platform.url, { fault: "freeze", route: "/log/claims", method: "POST" });
            await setFault(service(cluster), { fault: "clear" });
            await waitUntilFaultApplied(cluster.platform.url, "freeze");
        },
    },
};

/** Faults of the daemon that takes the request: `inject` starts the fault, `heal` ends it. */
const daemonFaults: Readonly<Record<string, { inject(daemon: Daemon): void; heal(cluster: Cluster): Promise<void>; }>> =
    {
        "is killed": {
            inject: ({ child }) => child.signal("SIGKILL"),
            heal: async cluster => {
                await cluster.daemons[0]!.child.exited;
                await cluster.restartDaemon(cluster.daemons[0]!.name);
            },
        },
        "is paused past the deadline": {
            inject: ({ child }) => child.signal("SIGSTOP"),
            heal: async ({ daemons }) => {
                await delay(PAUSE_MILLISECONDS);
                daemons[0]!.child.signal("SIGCONT");
            },
        },
        "is cut off from the platform": {
            inject: ({ platformLink }) => platformLink!.set("cut"),
            heal: async () => {
                await delay(DEADLINE_MILLISECONDS);
            },
        },
    };

describe("a request that may not run twice", function() {
    this.timeout(60_000);
    let cluster: Cluster;
    before(async () => {
        cluster = await startSmallCluster(size);
    });
    after(() => cluster?.stop());
    afterEach(async function() {
        if (this.currentTest?.state === "failed") {
            console.error(cluster.output(15));
        }
        await healCluster(cluster);
    });

    Object.entries(daemonFaults).forEach(([event, { inject, heal }]) =>
        Object.entries(steps).forEach(([step, { before: prepare, reached }]) =>
            it(`runs at most once if its daemon ${event} when ${step}`, async () => {
                const key = `${event}-${step}`.replaceAll(" ", "-");
                const [faultyDaemon, otherDaemon] = cluster.daemons as [Daemon, Daemon];
                await waitUntilStreamsReachable(cluster);
                await prepare(cluster);
                const change = { key, deadlineMilliseconds: DEADLINE_MILLISECONDS };
                const first = sendChange(faultyDaemon, change);
                await reached(cluster);
                inject(faultyDaemon);
                const concurrent = sendChange(otherDaemon, change);
                await heal(cluster);
                await healCluster(cluster);
                const results = [await first, await concurrent];
                for (let repeat = 0; repeat < REPEATS; repeat += 1) {
                    results.push(await sendChange(cluster.daemons[(repeat + 1) % 2]!, change));
                    await delay(200);
                }

                await expectConsistent(cluster, key, results);
            })
        )
    );
});

/** Checks for at most one execution, none for a request with the outcome not-run, and one if any outcome is complete. */
async function expectConsistent(cluster: Cluster, key: string, results: readonly CallerResult[]): Promise<void> {
    const report = JSON.stringify(results, undefined, 1);
    const changes = (await readChanges(cluster)).filter(entry => entry.key === key);
    expect(changes.length, report).to.be.at.most(1);
    const notRun = results.filter(({ outcome }) => outcome === "not-run").map(({ requestId }) => requestId!);
    expect(notRun.filter(id => changes.some(({ attempt }) => attempt!.startsWith(`${id}-`))), report).to.deep.equal([]);
    if (results.some(({ outcome }) => outcome === "complete")) {
        expect(changes.length, report).to.equal(1);
    }
    results.filter(({ status }) => status >= 400).forEach(({ outcome }) =>
        expect(outcome, report).to.be.oneOf(["not-run", "unknown"])
    );
}
