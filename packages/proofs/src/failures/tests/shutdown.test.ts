import { expect } from "chai";
import { setTimeout as delay } from "node:timers/promises";
import type { Cluster } from "../../cluster/cluster.js";
import { setFault } from "../../cluster/control.js";
import { sendChange, sendChat } from "../callers.js";
import { expectedText, readChanges, startSmallCluster } from "../fixture.js";

const MAXIMUM_TOKENS = 200;
const SERVICE_MILLISECONDS = 1500;

describe("a graceful shutdown", function() {
    this.timeout(60_000);
    let cluster: Cluster;
    before(async () => {
        cluster = await startSmallCluster({ daemons: 2, engines: 2, members: 2, replicas: 1 });
    });
    after(() => cluster?.stop());

    it("completes requests in progress, refuses new ones and exits with code 0", async () => {
        const [daemon] = cluster.daemons;
        await setFault(cluster.services[0]!.url, {
            fault: "slow",
            method: "POST",
            milliseconds: SERVICE_MILLISECONDS,
            count: 1,
        });
        const prompts = [...Array(6).keys()].map(index => `shutdown ${index}`);
        const chats = prompts.map((prompt, index) =>
            sendChat(daemon!, { prompt, maxTokens: MAXIMUM_TOKENS, stream: index % 2 === 0 })
        );
        const change = sendChange(daemon!, { key: "shutdown" });
        await delay(500);
        daemon!.child.signal("SIGTERM");
        await delay(200);
        const late = await sendChat(daemon!, {});
        const results = await Promise.all(chats);

        expect(results.map(({ status, finished, text }) => ({ status, finished, text }))).to.deep.equal(
            prompts.map(prompt => ({ status: 200, finished: true, text: expectedText(prompt, MAXIMUM_TOKENS) })),
        );
        expect((await change).outcome).to.equal("complete");
        expect((await readChanges(cluster)).length).to.equal(1);
        expect([0, 503]).to.include(late.status);
        expect(await daemon!.child.exited).to.deep.equal({ code: 0, signal: undefined });
    });
});
