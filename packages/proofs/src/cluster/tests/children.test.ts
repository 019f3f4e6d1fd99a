import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, readFileSync } from "node:fs";
import { startChild } from "../children.js";
import { waitFor } from "../wait.js";

const platform = require.resolve("@damaskvale/stand-ins/dist/platform/main.js");
const modulePath = require.resolve("../children.js");

/** Whether the process is running. A killed process whose parent has exited is in state Z until init reaps it. */
const isRunning = (pid: number): boolean =>
    existsSync(`/proc/${pid}/stat`) && !readFileSync(`/proc/${pid}/stat`, "utf8").includes(") Z ");

describe("child processes", () => {
    it("rejects firstLine if the child exits during startup, instead of waiting forever", async () => {
        const child = startChild({ name: "wrong", script: platform, args: ["--no-such-flag"] });
        const error = await child.firstLine().then(() => undefined, (reason: Error) => reason);
        expect(error?.message).to.contain("wrong ended before it was ready");
    });

    (["SIGINT", "SIGTERM"] as const).forEach(signal =>
        it(`leaves no process behind when the launcher gets ${signal}`, async () => {
            const program = `const { startChild } = require(${JSON.stringify(modulePath)});`
                + `const child = startChild({ name: "p", script: ${JSON.stringify(platform)}, args: [] });`
                + `child.firstLine().then(() => console.log(child.pid));`;
            const launcher = spawn(process.execPath, ["-e", program], { stdio: ["ignore", "pipe", "inherit"] });
            const [line] = await once(launcher.stdout, "data") as [Buffer];
            const pid = Number(line.toString());
            expect(isRunning(pid)).to.equal(true);

            launcher.kill(signal);
            await once(launcher, "exit");
            await waitFor("end of the child", 2000, () => !isRunning(pid));
        })
    );
});
