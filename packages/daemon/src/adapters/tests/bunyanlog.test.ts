import { expect } from "chai";
import { PassThrough } from "node:stream";
import { createBunyanLog } from "../bunyanlog.js";

describe("bunyan log", () => {
    it("writes the number and text of an event, and redacts secrets at any depth", () => {
        const stream = new PassThrough();
        const log = createBunyanLog({ daemon: "d", dataCentre: "c", level: "info", secrets: ["s3cret-value"], stream });

        log.emit("taskFailed", { error: new Error("peer said s3cret-value"), nested: [{ key: "s3cret-value" }] });

        const line = String(stream.read());
        expect(JSON.parse(line)).to.include({ event: 106, msg: "A task failed to handle a message." });
        expect(line).not.to.contain("s3cret-value");
    });
});
