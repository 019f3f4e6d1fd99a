import { type ClaimsBody, claimsFold, type ClaimsState } from "@damaskvale/core";
import { expect } from "chai";
import type { PeerNetwork } from "../../ports/peers.js";
import { type ClaimsTask, createClaims } from "../claims.js";
import { FakeLog, type FakeStream, noMetrics } from "./fakes.js";

const network: PeerNetwork = {
    send: () => false,
    onMessage: () => undefined,
    connect: () => undefined,
    links: () => [],
};
const request = { team: "t", keyHash: "a".repeat(64), bodyHash: "b".repeat(64), deadlineAt: Number.MAX_SAFE_INTEGER };

function claimsOf(daemon: string, stream: FakeStream<ClaimsState, ClaimsBody>): ClaimsTask {
    return createClaims({
        author: { daemon, incarnation: "1" },
        streams: [stream],
        network,
        clock: { monotonic: () => 0, wall: () => 0 },
        events: { emit: () => undefined },
        metrics: noMetrics,
        random: () => 0.5,
    });
}

describe("repeated requests with a claimed key", () => {
    it("get the outcome at once from the daemon that recorded it, before the log shows it", async () => {
        const stream = new FakeLog(claimsFold).follow("a", "1");
        const claims = claimsOf("a", stream);
        const first = await claims.claim(request);
        stream.cut = true;
        claims.record((first as { claim: string; }).claim, "complete", 201);

        const second = await claims.claim(request);

        expect(second).to.include({ kind: "completed", outcome: "complete", status: 201 });
        claims.stop();
    });

    it("are not answered as not run while the log is unreachable", async () => {
        const log = new FakeLog(claimsFold);
        const [one, other] = [log.follow("a", "1"), log.follow("b", "1")];
        const [owner, another] = [claimsOf("a", one), claimsOf("b", other)];
        await owner.claim(request);
        other.cut = true;

        const repeat = await another.claim(request);

        expect(repeat).to.include({ kind: "in-progress", owner: "a" });
        [owner, another].forEach(claims => claims.stop());
    });
});
