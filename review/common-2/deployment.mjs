/** Starts daemons and servers as processes, sends requests to them, and keeps the record of a case. */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request as startRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Store } from "./store.mjs";

const ROOT = join(import.meta.dirname, "..", "..");
const WAIT_MILLISECONDS = 30_000;
const LONGEST_CASE_MILLISECONDS = 110_000;
/** `stableWindowMs` of the settings: a machine is in touch that long after its start. */
const STABLE_WINDOW_MILLISECONDS = 3_000;
const STABLE_MARGIN_MILLISECONDS = 500;

/** Whether the disruption of the case takes place. */
export const TROUBLE = process.env.TROUBLE !== "0";

export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Returns a port on which nothing listens. */
export async function freePort(host = "127.0.0.1") {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** Waits until a condition holds. */
export async function until(what, holds, milliseconds = WAIT_MILLISECONDS) {
    const end = performance.now() + milliseconds;
    while (!await holds()) {
        if (performance.now() > end) {
            throw new Error(`Not within ${milliseconds} ms: ${what}.`);
        }
        await sleep(20);
    }
}

/** A small deployment: the store in this process, the others as processes of their own. */
export class Deployment {
    store = new Store();
    daemons = [];
    children = new Set();
    lines = [];
    directory = mkdtempSync(join(tmpdir(), "damaskvale-review-"));

    /** `recordPath` is the file to which the record is written. */
    constructor(recordPath) {
        this.recordPath = recordPath;
        this.startedAt = performance.now();
    }

    /** Adds a line to the record. */
    note(text) {
        this.lines.push(`${((performance.now() - this.startedAt) / 1_000).toFixed(3)} ${text}`);
    }

    writeRecord() {
        writeFileSync(this.recordPath, `${this.lines.join("\n")}\n`);
    }

    /** Starts a program of Node.js; `onLine` gets the lines of its output. */
    start(words, environment, onLine = () => undefined) {
        const child = spawn(process.execPath, words, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, ...environment },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.children.add(child);
        child.ended = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
        void child.ended.then(() => this.children.delete(child));
        let rest = "";
        child.stdout.on("data", data => {
            const parts = (rest + data).split("\n");
            rest = parts.pop();
            parts.forEach(onLine);
        });
        child.stderr.on("data", data => this.note(`standard error of ${words.at(-1)}: ${data}`.trimEnd()));
        return child;
    }

    /** Starts a daemon with the command of the deploy file. */
    async startDaemon(settings = {}) {
        const index = this.daemons.length;
        this.peerPort ??= await freePort();
        const ip = `127.0.0.${index + 2}`;
        const [front, ready, control, metrics] = [
            await freePort(),
            await freePort(),
            await freePort(),
            await freePort(),
        ];
        const path = join(this.directory, `settings-${index}.conf`);
        const fields = {
            "nodeName": `edge-${index}`,
            "role": "daemon",
            "machineClass": "edge",
            "serves": "edge",
            ip,
            "zone": "hall",
            "region": "land",
            "zones.hall": "land",
            "listen.front": `127.0.0.1:${front}`,
            "listen.ready": `127.0.0.1:${ready}`,
            "listen.control": `127.0.0.1:${control}`,
            "internalPorts": `${this.peerPort},${this.peerPort}`,
            "bootstrap": "true",
            "limits.memoryMb": "350",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,gangs",
            "bounds.stableWindowMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.configApplyMs": "2000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.budgetSlack": "134",
            "bounds.enforceFencing": "true",
            "platform.address": this.store.address,
            "platform.form": "log",
            "platform.parts": "8",
            ...settings,
        };
        writeFileSync(path, Object.entries(fields).map(([name, value]) => `${name}=${value}\n`).join(""));
        const words = ["--max-old-space-size=200", "--max-semi-space-size=8", "target/damaskvaled.js"];
        const daemon = { front, ready, log: [] };
        daemon.child = this.start(words, {
            DAMASKVALE_SETTINGS: path,
            DAMASKVALE_METRICS_PORT: String(metrics),
        }, line => daemon.log.push(line));
        this.daemons.push(daemon);
        await until("the daemon is ready", () => isReady(daemon));
        return daemon;
    }

    /** Waits until the machines of the daemons are in touch. */
    async waitUntilInTouch() {
        await sleep(STABLE_WINDOW_MILLISECONDS + STABLE_MARGIN_MILLISECONDS);
        this.note("the machines are in touch");
    }

    async end() {
        [...this.children].forEach(child => child.kill("SIGKILL"));
        await Promise.all([...this.children].map(child => child.ended));
        this.store.close();
        rmSync(this.directory, { recursive: true, force: true });
    }
}

function isReady({ ready }) {
    return fetch(`http://127.0.0.1:${ready}/ready`).then(({ status }) => status === 200).catch(() => false);
}

/** Sends a request; resolves to what the client sees of its answer. */
export function send({ front }, { id, method = "POST", path, headers = {}, body = "question", agent = false }) {
    return new Promise(resolve => {
        const fields = { "Host": "house.example", "Request-Id": id, "Deadline-Ms": "8000", ...headers };
        const message = startRequest(
            { host: "127.0.0.1", port: front, method, path, headers: fields, agent },
            answer => {
                const chunks = [];
                answer.on("data", chunk => chunks.push(chunk));
                answer.on("error", () => undefined);
                answer.on("close", () =>
                    resolve({
                        status: answer.statusCode,
                        headers: answer.headers,
                        body: Buffer.concat(chunks).toString("latin1"),
                        isWhole: answer.complete,
                    }));
            },
        );
        message.on("error", error => resolve({ status: 0, headers: {}, body: "", isWhole: false, error: error.code }));
        message.end(method === "GET" ? undefined : body);
    });
}

/** Configuration of plain routes and services, as an operator writes it. */
export function configurationOf(version, routes, services, others = {}) {
    return {
        version,
        routes: routes.map(route => ({
            hostname: "house.example",
            pathPrefix: `/${route.name}/`,
            routeType: "unsafe",
            maxAttempts: 2,
            timeoutMs: 8_000,
            targetLatencyMs: 400,
            priority: 1,
            public: true,
            ...route,
        })),
        services: services.map(service => ({ healthPath: "/health", maxConnections: 110, ...service })),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [],
        ...others,
    };
}

/** Runs a case: `play` returns the violations of the rule. The process exits with 1, 0, or 2 if the case could not run. */
export async function runCase(recordPath, play) {
    const deployment = new Deployment(recordPath);
    let code = 2;
    const limit = setTimeout(() => {
        deployment.note("The case did not end in time.");
        finish(deployment, 2);
    }, LONGEST_CASE_MILLISECONDS);
    try {
        await deployment.store.listen();
        const violations = await play(deployment);
        violations.forEach(violation => deployment.note(`BROKEN ${violation}`));
        deployment.note(violations.length === 0 ? "The rule held." : `The rule was broken ${violations.length} times.`);
        code = violations.length === 0 ? 0 : 1;
    }
    catch (error) {
        deployment.note(`The case could not run: ${error.stack}`);
    }
    clearTimeout(limit);
    await finish(deployment, code);
}

async function finish(deployment, code) {
    await deployment.end();
    deployment.writeRecord();
    process.exit(code);
}
