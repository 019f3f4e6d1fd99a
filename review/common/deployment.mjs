/** A small deployment on loopback: the store, servers, daemons as processes, clients, and the record of a case. */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request as startRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { ModelServer, PlainServer } from "./servers.mjs";
import { Store } from "./store.mjs";

const ROOT = join(import.meta.dirname, "..", "..");
/** As `deploy/system.toml` starts it. */
const RUN = ["--max-old-space-size=200", "--max-semi-space-size=8", "target/damaskvaled.js"];
const LONGEST_MILLISECONDS = 115_000;
/** Tokens of the prompt that all requests share. */
const SHARED_TOKENS = 40;

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Whether the case is played with its disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";

export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Waits until a condition holds; throws after the time. */
export async function until(what, condition, milliseconds = 20_000) {
    const end = performance.now() + milliseconds;
    while (!await condition()) {
        if (performance.now() > end) {
            throw new Error(`Not within ${milliseconds} ms: ${what}`);
        }
        await sleep(20);
    }
}

/** Returns ports that are free on all of the given addresses. */
async function freePort(ips) {
    for (;;) {
        const first = await tryListen(0, ips[0]);
        const others = await Promise.all(ips.slice(1).map(ip => tryListen(first.port, ip)));
        [first, ...others].forEach(attempt => attempt?.server.close());
        if (others.every(attempt => attempt !== undefined)) {
            return first.port;
        }
    }
}

function tryListen(port, ip) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, ip, () => resolve({ server, port: server.address().port }));
    });
}

/** The deployment of one case. */
export class Deployment {
    store = new Store();
    servers = [];
    daemons = [];
    lines = [];
    answers = [];
    hasServed = false;
    sent = 0;
    startedAt = performance.now();

    constructor({ folder, bounds = {}, models = [], zone = "zone-a" }) {
        Object.assign(this, { folder, models, zone });
        this.bounds = { graceS: 8, drainMs: 2000, configApplyMs: 2000, enforceFencing: true, ...bounds };
        this.settingsFolder = mkdtempSync(join(tmpdir(), "review-"));
        this.end = setTimeout(() => this.finish(COULD_NOT_RUN, "The case took too long."), LONGEST_MILLISECONDS);
    }

    byId(id) {
        return this.servers.find(server => server.id === id);
    }

    seconds() {
        return ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    }

    record(text) {
        this.lines.push(`${this.seconds()} ${text}`);
    }

    async startPlain(id, service) {
        const { store, zone } = this;
        const server = new PlainServer({ id, service, store, zone, slots: 6, record: text => this.record(text) });
        this.servers.push(server);
        await server.start();
        return server;
    }

    async startModel(id, service, domain, options = {}) {
        const { store, zone, models } = this;
        const record = text => this.record(text);
        const server = new ModelServer({ id, service, store, zone, record, domain, models, fleet: this, ...options });
        this.servers.push(server);
        await server.start();
        return server;
    }

    /** Writes a configuration; its acknowledgement is the end of this call. */
    configure(configuration) {
        this.store.put("keyed.op", "config", configuration);
        this.record(`configuration ${configuration.version} acknowledged`);
        return performance.now();
    }

    async reservePorts(count) {
        this.ips = Array.from({ length: count }, (_, index) => `127.0.0.${index + 2}`);
        this.ports = [];
        while (this.ports.length < 4) {
            const port = await freePort(this.ips);
            if (!this.ports.includes(port)) {
                this.ports.push(port);
            }
        }
    }

    async startDaemon(index, name = `edge-${this.zone}-${index + 1}`) {
        const [front, ready, peer, metrics] = this.ports;
        const ip = this.ips[index];
        const door = this.daemons[index]?.door ?? await this.store.open();
        const settings = join(this.settingsFolder, `settings-${index}.conf`);
        const bounds = Object.entries({
            ...{ stableWindowMs: 3000, ackMs: 4000, maxSkewMs: 5000, recoverS: 12, stallMs: 5000 },
            ...{ retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 134 },
            ...this.bounds,
        }).map(([key, value]) => `bounds.${key}=${value}`);
        writeFileSync(
            settings,
            [
                `nodeName=${name}`,
                "machineClass=edge",
                "serves=edge",
                `ip=${ip}`,
                `zone=${this.zone}`,
                "region=region-a",
                `zones.${this.zone}=region-a`,
                `listen.front=${ip}:${front}`,
                `listen.ready=${ip}:${ready}`,
                `internalPorts=${peer},${peer}`,
                "limits.memoryMb=350",
                "limits.linkMbps=1000.0",
                "discovery=platform",
                "heartbeatMs=1200",
                ...bounds,
                `platform.address=${door.address}`,
                "platform.form=log",
                "platform.parts=8",
            ].join("\n"),
        );
        const child = spawn(process.execPath, RUN, {
            cwd: ROOT,
            env: {
                PATH: process.env.PATH,
                HOME: process.env.HOME,
                DAMASKVALE_SETTINGS: settings,
                DAMASKVALE_METRICS_PORT: String(metrics),
            },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = [];
        createInterface({ input: child.stdout }).on("line", line => log.push(line));
        child.stderr.on("data", bytes => log.push(String(bytes)));
        const exited = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
        this.daemons[index] = { name, ip, door, child, log, exited };
        this.record(`daemon ${name} started`);
        return this.daemons[index];
    }

    async isReady({ ip }) {
        return fetch(`http://${ip}:${this.ports[1]}/ready`).then(({ status }) => status === 200, () => false);
    }

    async untilReady() {
        await until("the daemons are ready", async () => {
            const ready = await Promise.all(this.daemons.map(daemon => this.isReady(daemon)));
            return ready.every(Boolean);
        });
    }

    /** Sends one request on a connection of its own, or on one of the given agent, and resolves with its answer. */
    call(
        index,
        { path, key = "key-red", model, deadline = 5_000, method = "POST", agent = false, prompt = 100, output = 80 },
    ) {
        this.sent += 1;
        const requestId = `request-${this.sent}`;
        const sentAt = performance.now();
        const headers = {
            "Host": "h.example",
            "Request-Id": requestId,
            "Deadline-Ms": String(deadline),
            "Authorization": `Bearer ${key}`,
            ...(model === undefined ? {} : {
                "Model": model,
                "Token-Count": `${prompt},${output}`,
                "Prompt-Prefix": `5c1e07a2:${SHARED_TOKENS},${this.sent.toString(16)}:${prompt - SHARED_TOKENS}`,
            }),
        };
        const { ip, name } = this.daemons[index];
        this.record(`sent ${requestId} to ${name} path ${path} key ${key}`);
        return new Promise(resolve => {
            const finish = answer => {
                this.record(`answered ${requestId} ${answer.status} whole ${answer.whole} ${answer.note ?? ""}`);
                const endedAt = performance.now();
                const complete = { ...answer, id: requestId, sentAt, endedAt, path, key, daemon: name };
                this.answers.push(complete);
                resolve(complete);
            };
            const message = startRequest(
                { host: ip, port: this.ports[0], method, path, headers, agent },
                response => {
                    const chunks = [];
                    response.on("data", chunk => chunks.push(chunk));
                    response.on("error", () => undefined);
                    response.on("close", () =>
                        finish({
                            status: response.statusCode,
                            headers: response.headers,
                            body: Buffer.concat(chunks).toString(),
                            whole: response.complete,
                            note: response.headers["retry-after"] && `retry after ${response.headers["retry-after"]}`,
                        }));
                },
            );
            message.on(
                "error",
                error => finish({ status: 0, whole: false, body: "", headers: {}, note: error.message }),
            );
            message.setTimeout(deadline + 2_000, () => message.destroy(new Error("no answer")));
            message.end(`question of ${requestId}`);
        });
    }

    /** Sends SIGKILL to a daemon and waits for its end. */
    async kill(index) {
        const { child, exited, name } = this.daemons[index];
        child.kill("SIGKILL");
        await exited;
        this.record(`daemon ${name} killed`);
    }

    /** Writes the record, ends all processes and exits. */
    async finish(code, text) {
        clearTimeout(this.end);
        this.record(`result ${code}: ${text}`);
        this.daemons.forEach(({ child }) => child.kill("SIGKILL"));
        await Promise.all(this.daemons.map(({ exited }) => exited));
        this.servers.forEach(server => server.close());
        this.store.close();
        const daemonLogs = this.daemons.flatMap(({ name, log }) => log.map(line => `${name} ${line}`));
        writeFileSync(join(this.folder, "record.txt"), `${this.lines.join("\n")}\n`);
        if (process.env.DAEMON_LOGS !== undefined) {
            writeFileSync(process.env.DAEMON_LOGS, daemonLogs.join("\n"));
        }
        rmSync(this.settingsFolder, { recursive: true, force: true });
        process.stdout.write(`${text}\n`);
        process.exit(code);
    }
}

/** Runs a case: an error in it means that it could not run. */
export async function play(deployment, run) {
    try {
        const { code, text } = await run();
        await deployment.finish(code, text);
    }
    catch (error) {
        await deployment.finish(COULD_NOT_RUN, `The case could not run: ${error.stack}`);
    }
}

/** Returns a configuration of the kind that the operator writes. */
export function buildConfiguration({ version, routes, services, keys = ["key-red"] }) {
    const common = { hostname: "h.example", timeoutMs: 5_000, targetLatencyMs: 400, priority: 1, maxAttempts: 2 };
    return {
        version,
        routes: routes.map(route => ({ ...common, ...route })),
        services,
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "red", apiKeys: keys, priority: 1 }],
    };
}

/** Returns the engine of a service of model servers, as in the sheets. */
export function buildEngine(models) {
    return {
        slots: 18,
        kvCapacityTokens: 1_710_000,
        stride: 6,
        models,
        step_ms: 6.45,
        per_seq_ms: 0.0967,
        context_per_k: 0.00293,
        read_per_s: 56_100,
        pairs_per_m: 0.309,
        chunk: 2_048,
        loadsPerS: 5.5,
        loads_at_once: 8,
        usual: { prompt: 1_000, answer: 120 },
        formMs: 300,
        report_lag_ms: 200,
        delays: {},
    };
}
