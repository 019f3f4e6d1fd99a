import { type Row, rowKey } from "@damaskvale/core";
import { expect } from "chai";
import { createHash } from "node:crypto";
import type { Cluster } from "../../cluster/cluster.js";
import { editId } from "../../cluster/control.js";
import { waitFor } from "../../cluster/wait.js";
import { startSmallCluster } from "../fixture.js";

const APPLY_BOUND_MILLISECONDS = 3000;
const ROUNDS = 10;

const teamOf = (name: string, key: string): Row => ({
    kind: "team",
    name,
    keyHashes: [createHash("sha256").update(key).digest("hex")],
    models: ["*"],
    services: [],
    weight: 1,
    queueLength: 10,
});

describe("the operators' table", function() {
    this.timeout(60_000);
    let cluster: Cluster;
    before(async () => {
        cluster = await startSmallCluster({ daemons: 3, engines: 0, members: 1, replicas: 0 });
    });
    after(() => cluster?.stop());

    it("is in force on every daemon within 3 s of an accepted edit", async () => {
        for (let round = 0; round < ROUNDS; round += 1) {
            const key = `key-of-round-${round}`;
            const { control } = cluster.daemons[round % 3]!;
            await control.setRows([teamOf("changing", key)], "accepted");
            const acceptedAt = performance.now();
            await Promise.all(
                cluster.daemons.map(({ name, url }) =>
                    waitFor(`new key at ${name}`, APPLY_BOUND_MILLISECONDS, async () => {
                        const response = await fetch(`${url}/v1/models`, {
                            headers: { authorization: `Bearer ${key}` },
                        });
                        return response.status === 200;
                    })
                ),
            );
            expect(performance.now() - acceptedAt).to.be.below(APPLY_BOUND_MILLISECONDS);
        }
    });

    it("accepts exactly one of two concurrent edits, names the winner to the other operator, and converges on its row", async () => {
        const [one, other] = cluster.daemons;
        for (let round = 0; round < ROUNDS; round += 1) {
            const key = rowKey({ kind: "team", name: "contested" });
            const present = await one!.control.table();
            const baseRevision = present.find(row => row.key === key)?.revision ?? 0;
            const edits = [one, other].map((daemon, index) => ({
                daemon: daemon!,
                edit: { id: editId(), key, baseRevision, row: teamOf("contested", `operator ${index} round ${round}`) },
            }));
            const answers = await Promise.all(edits.map(({ daemon, edit }) => daemon.control.edit([edit], "accepted")));

            const results = answers.map(({ body }) => body.results[0]!);
            const report = JSON.stringify(results);
            expect(results.map(({ result }) => result).sort(), report).to.deep.equal(["accepted", "rejected"]);
            const lost = results.findIndex(({ result }) => result === "rejected");
            const winner = edits[1 - lost]!;
            expect(results[lost]!.issue!.code, report).to.equal("edit_conflict");
            expect(results[lost]!.issue!.message, report).to.contain(winner.daemon.name);
            await Promise.all(
                cluster.daemons.map(({ name, control }) =>
                    waitFor(`row of the winner at ${name}`, APPLY_BOUND_MILLISECONDS, async () => {
                        const row = (await control.table()).find(found => found.key === key);
                        return JSON.stringify((row?.row as { keyHashes: string[]; } | undefined)?.keyHashes)
                            === JSON.stringify((winner.edit.row as { keyHashes: string[]; }).keyHashes);
                    })
                ),
            );
        }
    });
});
