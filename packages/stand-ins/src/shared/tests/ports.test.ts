/** Parallel test processes get different ports, also when each of them takes many. */
import { expect } from "chai";
import { type ChildProcess, spawn } from "node:child_process";
import { join } from "node:path";

const PROCESSES = 3;
const PORTS = 250;

const MODULE = join(__dirname, "..", "ports.js");
const PROGRAM = `require(${JSON.stringify(MODULE)}).freePorts(${PORTS})
    .then(ports => process.send(ports)).then(() => setInterval(() => undefined, 1000));`;

describe("ports for tests", () => {
    const children: ChildProcess[] = [];

    afterEach(() => children.splice(0).forEach(child => child.kill("SIGKILL")));

    it("are given to one process only while several take them at the same time", async () => {
        const taken = await Promise.all(Array.from({ length: PROCESSES }, () => {
            const child = spawn(process.execPath, ["-e", PROGRAM], { stdio: ["ignore", "inherit", "inherit", "ipc"] });
            children.push(child);
            return new Promise<number[]>((resolve, reject) => {
                child.once("message", ports => resolve(ports as number[]));
                child.once("exit", code => reject(new Error(`The process exited with ${code}.`)));
            });
        }));
        const ports = taken.flat();
        expect(ports.length).to.equal(PROCESSES * PORTS);
        expect(new Set(ports).size).to.equal(ports.length);
    });
});
