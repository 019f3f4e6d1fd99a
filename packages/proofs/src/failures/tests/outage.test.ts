import { expect } from "chai";
import type { Cluster } from "../../cluster/cluster.js";
import { setFault } from "../../cluster/control.js";
import { waitFor } from "../../cluster/wait.js";
import { sendChange, sendChat } from "../callers.js";
import { expectedText, healCluster, readChanges, startSmallCluster } from "../fixture.js";

/** Bound of an immediate refusal, with a margin for a busy machine. */
const REFUSAL_BOUND_MILLISECONDS = 1000;
const RECOVERY_TIMEOUT_MILLISECONDS = 15_000;
/** Longer than every timeout after which a daemon could lose its groups or its lease. */
const OUTAGE_MILLISECONDS = 14_000;

describe("the platform's log", function() {
    this.timeout(90_000);
    let cluster: Cluster;
    before(async () => {
        cluster = await startSmallCluster({ daemons: 2, engines: 2, members: 2, replicas: 1, relays: true });
    });
    after(() => cluster?.stop());
    afterEach(async function() {
        if (this.currentTest?.state === "failed") {
            console.error(cluster.output(15));
        }
        await healCluster(cluster);
    });

    const countExecutions = async (key: string): Promise<number> =>
        (await readChanges(cluster)).filter(entry => entry.key === key).length;
    const waitUntilChangesComplete = (key: string): Promise<unknown> =>
        waitFor(
            "complete change",
            RECOVERY_TIMEOUT_MILLISECONDS,
            async () => (await sendChange(cluster.daemons[1]!, { key })).outcome === "complete",
        );

    it("loses the answer of a claim's append: the request is not run, and its key becomes free again", async () => {
        await setFault(cluster.platform.url, { fault: "dropAnswer", route: "/log/claims", method: "POST", count: 1 });
        const result = await sendChange(cluster.daemons[0]!, { key: "lost-answer" });
        const executions = await countExecutions("lost-answer");

        expect([result.outcome, executions]).to.be.deep.oneOf([["not-run", 0], ["complete", 1]]);
        await waitUntilChangesComplete("lost-answer");
        expect(await countExecutions("lost-answer")).to.equal(1);
    });

    it("executes an append late, after its connection broke: a request that was refused never runs", async () => {
        const fault = {
            fault: "dropAnswer",
            route: "/log/claims",
            method: "POST",
            count: 1,
            milliseconds: 700,
        } as const;
        await setFault(cluster.platform.url, fault);
        const result = await sendChange(cluster.daemons[0]!, { key: "late-append" });
        expect([result.outcome, await countExecutions("late-append")]).to.be.deep.oneOf([["not-run", 0], [
            "complete",
            1,
        ]]);
        await waitUntilChangesComplete("late-append");
        expect(await countExecutions("late-append")).to.equal(1);
    });

    const outages: readonly (readonly [string, () => Promise<void>])[] = [
        ["is down", () => setFault(cluster.platform.url, { fault: "outage" })],
        [
            "cannot be reached from the data centre",
            async () => cluster.daemons.forEach(({ platformLink }) => platformLink!.set("cut")),
        ],
        ["is silent", async () => cluster.daemons.forEach(({ platformLink }) => platformLink!.set("silent"))],
    ];
    outages.forEach(([what, begin]) =>
        it(`${what}: the data centre goes on serving and refuses changes at once`, async () => {
            await begin();
            const end = performance.now() + OUTAGE_MILLISECONDS;
            const key = `outage-${what}`.replaceAll(" ", "-");
            for (let turn = 0; performance.now() < end; turn += 1) {
                const daemon = cluster.daemons[turn % 2]!;
                const prompt = `${what} ${turn}`;
                const chat = await sendChat(daemon, { prompt, maxTokens: 10 });
                expect([chat.status, chat.text]).to.deep.equal([200, expectedText(prompt, 10)]);
                const change = await sendChange(daemon, { key: `${key}-${turn}` });
                expect(change.outcome, JSON.stringify(change)).to.equal("not-run");
                expect(change.retryAfterSeconds, JSON.stringify(change)).to.be.greaterThan(0);
                // A silent platform is detected by one timeout; after that, refusals are immediate.
                if (what !== "is silent" || turn > 1) {
                    expect(change.milliseconds, JSON.stringify(change)).to.be.below(REFUSAL_BOUND_MILLISECONDS);
                }
                await new Promise(resolve => setTimeout(resolve, 200));
            }
            const ran = (await readChanges(cluster)).filter(entry => entry.key?.startsWith(key));
            expect(ran).to.deep.equal([]);

            await healCluster(cluster);
            await waitUntilChangesComplete(`after-${key}`);
        })
    );
});
