import type { GroupStatus } from "@damaskvale/core";
import { expect } from "chai";
import { setTimeout as delay } from "node:timers/promises";
import type { Cluster, Daemon } from "../../cluster/cluster.js";
import { waitFor } from "../../cluster/wait.js";
import { readOrderFencingTokens, startSmallCluster, waitUntilServing } from "../fixture.js";
import { startLoad } from "../load.js";

/** Covers the lease, its margin, the order deadline, detection, and the append of the takeover record. */
const TAKEOVER_TIMEOUT_MILLISECONDS = 30_000;
const OBSERVATION_MILLISECONDS = 5000;
const size = { daemons: 3, engines: 5, members: 2, replicas: 2, engineArgs: ["--ignore-fence"] };

describe("a daemon that holds groups", function() {
    this.timeout(90_000);
    let cluster: Cluster;
    beforeEach(async () => {
        cluster = await startSmallCluster(size);
    });
    afterEach(async function() {
        if (this.currentTest?.state === "failed") {
            console.error(cluster?.output(15));
        }
        await cluster?.stop();
    });

    const groupsAt = async ({ control }: Daemon): Promise<readonly GroupStatus[]> =>
        (await control.get<{ groups: GroupStatus[]; }>("groups")).body.groups;
    const waitForTakeover = (from: Daemon, observer: Daemon): Promise<boolean> =>
        waitFor("takeover of all groups", TAKEOVER_TIMEOUT_MILLISECONDS, async () => {
            const groups = await groupsAt(observer);
            return groups.length === size.replicas
                && groups.every(({ holder, dispatchable }) => holder !== from.name && dispatchable);
        });
    const findHolder = async (): Promise<{ readonly holder: Daemon; readonly others: readonly Daemon[]; }> => {
        const [group] = await groupsAt(cluster.daemons[0]!);
        const holder = cluster.daemons.find(({ name }) => name === group!.holder)!;
        return { holder, others: cluster.daemons.filter(daemon => daemon !== holder) };
    };

    it("is paused past its lease and resumes: no engine obeys an order older than one that it obeyed before", async () => {
        const { holder, others } = await findHolder();
        const load = startLoad(others, 1, false);
        holder.child.signal("SIGSTOP");
        await waitForTakeover(holder, others[0]!);
        holder.child.signal("SIGCONT");
        await delay(OBSERVATION_MILLISECONDS);
        const results = await load.stop();

        const fences = await readOrderFencingTokens(cluster.engines);
        fences.forEach(({ host, orders }) => {
            const sorted = [...orders].sort((one, other) => one - other);
            expect(orders, `orders at ${host}`).to.deep.equal(sorted);
        });
        expect(results.filter(({ correct }) => !correct)).to.deep.equal([]);
        await waitUntilServing(holder, size);
    });

    it("is killed: its groups are taken over and keep their members", async () => {
        const { holder, others } = await findHolder();
        const before = await groupsAt(others[0]!);
        await holder.child.kill();
        await waitForTakeover(holder, others[0]!);

        const members = (groups: readonly GroupStatus[]) =>
            groups.map(group => [group.group, group.members.join()]).sort();
        expect(members(await groupsAt(others[0]!))).to.deep.equal(members(before));
    });
});
