import { expect } from "chai";
import { createMailbox } from "../mailbox.js";

type Message = { kind: "slow"; value: number; } | { kind: "fail"; };

describe("mailbox", () => {
    it("handles messages one after another and goes on after an error", async () => {
        const handled: string[] = [];
        const mailbox = createMailbox<Message>({
            slow: async ({ value }) => {
                handled.push(`start ${value}`);
                await Promise.resolve();
                handled.push(`end ${value}`);
            },
            fail: () => {
                throw new Error("expected");
            },
        }, (error, kind) => handled.push(`${(error as Error).message} in ${kind}`));

        mailbox.post({ kind: "slow", value: 1 });
        mailbox.post({ kind: "fail" });
        mailbox.post({ kind: "slow", value: 2 });
        await new Promise(resolve => setImmediate(resolve));
        await mailbox.close();

        expect(handled).to.deep.equal(["start 1", "end 1", "expected in fail", "start 2", "end 2"]);
    });
});
