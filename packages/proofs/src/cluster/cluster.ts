/** Test cluster of real processes: platform, engines, services and daemons, started from one specification. */
import { freePorts } from "@damaskvale/stand-ins";
import { type Child, type ChildSpec, startChild } from "./children.js";
import { expectOk, fetchJson } from "./control.js";
import { type Control, createControl } from "./control.js";
import { type Relay, startRelay } from "./relay.js";
import { waitFor } from "./wait.js";

/** Engine to start, with the attributes under which the platform lists its host. */
export interface EngineSpec {
    readonly host: string;
    readonly dataCentre: string;
    readonly fabricDomain: string;
    readonly args?: readonly string[];
}

/** Processes of a cluster. */
export interface ClusterSpec {
    readonly platformArgs?: readonly string[];
    readonly daemons: readonly {
        readonly name: string;
        readonly dataCentre: string;
        readonly args?: readonly string[];
    }[];
    readonly engines: readonly EngineSpec[];
    readonly services: readonly { readonly name: string; readonly args?: readonly string[]; }[];
    /** Whether to start a TCP relay between each daemon and the platform, to inject network faults. */
    readonly relays?: boolean;
}

/** Running stand-in. */
export interface StandIn {
    readonly name: string;
    readonly child: Child;
    readonly url: string;
}

/** Running engine. */
export interface Engine extends StandIn {
    readonly spec: EngineSpec;
}

/** Running daemon. */
export interface Daemon extends StandIn {
    readonly dataCentre: string;
    readonly peerAddress: string;
    readonly control: Control;
    /** Relay to the platform; present if `relays` is set in the specification. */
    readonly platformLink?: Relay;
}

/** Running cluster. */
export interface Cluster {
    readonly platform: StandIn;
    readonly engines: readonly Engine[];
    readonly services: readonly StandIn[];
    readonly daemons: readonly Daemon[];
    /** Publishes the host list to the platform, with `leaving` marked so and `absent` left out. */
    publishHosts(leaving?: readonly string[], absent?: readonly string[]): Promise<void>;
    /** Starts a stopped daemon again with the same name and addresses. */
    restartDaemon(name: string): Promise<Daemon>;
    /** Returns the last `lines` lines of output of each process, for the report of a failed test. */
    output(lines: number): string;
    /** Stops all processes of the cluster; with `graceful`, the daemons get SIGTERM and time to drain first. */
    stop(options?: { readonly graceful?: boolean; }): Promise<void>;
}

/** Secrets of all test clusters. They protect nothing: processes listen only on the loopback interface. */
export const secrets = {
    operatorToken: "operator-token-for-proofs",
    peerSecret: "peer-secret-for-proofs",
    targetCredential: "credential-of-targets",
} as const;

const READY_TIMEOUT_MILLISECONDS = 20_000;
const GRACEFUL_STOP_TIMEOUT_MILLISECONDS = 10_000;
const standInScript = (program: string): string => require.resolve(`@damaskvale/stand-ins/dist/${program}/main.js`);
const daemonScript = (): string => require.resolve("@damaskvale/daemon/dist/main.js");

/** Starts the platform, engines and services, publishes the host list, then starts the daemons. */
export async function startCluster(spec: ClusterSpec): Promise<Cluster> {
    const started: Child[] = [];
    try {
        return await startProcesses(spec, childSpec => {
            const child = startChild(childSpec);
            started.push(child);
            return child;
        });
    }
    catch (error) {
        await Promise.all(started.filter(child => child.running()).map(child => child.kill()));
        throw error;
    }
}

type StartChild = (spec: ChildSpec) => Child;

async function startProcesses(spec: ClusterSpec, start: StartChild): Promise<Cluster> {
    const platform = await startStandIn(start, "platform", "platform", spec.platformArgs ?? []);
    const engines = await Promise.all(spec.engines.map(async (engine): Promise<Engine> => {
        const flags = ["--host", engine.host, "--platform", platform.url, ...engine.args ?? []];
        return { ...await startStandIn(start, engine.host, "engine", flags), spec: engine };
    }));
    const services = await Promise.all(
        spec.services.map(({ name, args }) => startStandIn(start, name, "service", args ?? [])),
    );
    const publishHosts = async (leaving: readonly string[] = [], absent: readonly string[] = []): Promise<void> => {
        const hosts = engines.filter(({ name }) => !absent.includes(name)).map(engine => ({
            host: engine.name,
            dataCentre: engine.spec.dataCentre,
            fabricDomain: engine.spec.fabricDomain,
            url: engine.url,
            state: leaving.includes(engine.name) ? "leaving" : "live",
        }));
        await expectOk(fetchJson(`${platform.url}/stand-in/hosts`, { body: { hosts } }));
    };
    await publishHosts();
    const launches = await prepareDaemons(spec, platform.url);
    const daemons = await Promise.all(launches.map(launch => launchDaemon(start, launch)));
    await waitFor("readiness of all daemons", READY_TIMEOUT_MILLISECONDS, async () => {
        const answers = await Promise.all(daemons.map(({ url }) => fetch(`${url}/readyz`)));
        return answers.every(answer => answer.ok);
    });
    const allChildren = (): readonly Child[] =>
        [platform, ...engines, ...services, ...daemons].map(({ child }) => child);
    return {
        platform,
        engines,
        services,
        daemons,
        publishHosts,
        restartDaemon: async name => {
            const index = launches.findIndex(({ child }) => child.name === name);
            daemons[index] = await launchDaemon(start, launches[index]!);
            return daemons[index];
        },
        output: lines =>
            allChildren().map(({ name, output }) =>
                [`--- ${name}`, ...output().slice(-lines).map(formatLogLine)].join("\n")
            ).join(
                "\n",
            ),
        stop: async ({ graceful = false } = {}) => {
            if (graceful) {
                await Promise.all(daemons.map(({ child }) => child.stop(GRACEFUL_STOP_TIMEOUT_MILLISECONDS)));
            }
            await Promise.all(allChildren().filter(child => child.running()).map(child => child.kill()));
            await Promise.all(launches.map(async ({ platformLink }) => platformLink?.close()));
        },
    };
}

interface DaemonLaunch {
    readonly child: ChildSpec;
    readonly dataCentre: string;
    readonly url: string;
    readonly peerAddress: string;
    readonly platformLink?: Relay;
}

async function startStandIn(
    start: StartChild,
    name: string,
    program: string,
    args: readonly string[],
): Promise<StandIn> {
    const child = start({ name, script: standInScript(program), args: [...args, "--exit-with-parent"] });
    const { url } = JSON.parse(await child.firstLine()) as { url: string; };
    return { name, child, url };
}

async function prepareDaemons(spec: ClusterSpec, platformUrl: string): Promise<DaemonLaunch[]> {
    const ports = await freePorts(spec.daemons.length * 2);
    const peers = ports.filter(port => ports.indexOf(port) % 2 === 1).map(port => `127.0.0.1:${port}`);
    return Promise.all(spec.daemons.map(async ({ name, dataCentre, args = [] }, index) => {
        const platformLink = spec.relays === true ? await startRelay(Number(new URL(platformUrl).port)) : undefined;
        const listen = `127.0.0.1:${ports[index * 2]}`;
        const peerAddress = peers[index]!;
        return {
            dataCentre,
            url: `http://${listen}`,
            peerAddress,
            platformLink,
            child: {
                name,
                script: daemonScript(),
                args: [
                    ...["--name", name, "--data-centre", dataCentre, "--listen", listen, "--peer-listen", peerAddress],
                    ...["--peers", peers.filter(peer => peer !== peerAddress).join(",")],
                    ...["--platform", platformLink?.url ?? platformUrl, ...args],
                ],
                environment: {
                    DAMASKVALE_OPERATOR_TOKENS: `proofs:${secrets.operatorToken}`,
                    DAMASKVALE_PEER_SECRET: secrets.peerSecret,
                    DAMASKVALE_TARGET_CREDENTIAL: secrets.targetCredential,
                },
            },
        };
    }));
}

async function launchDaemon(start: StartChild, launch: DaemonLaunch): Promise<Daemon> {
    const { child: { name }, dataCentre, url, peerAddress, platformLink } = launch;
    const child = start(launch.child);
    await waitFor(`answer of daemon ${name}`, READY_TIMEOUT_MILLISECONDS, async () => {
        if (!child.running()) {
            return "ended" as const;
        }
        return (await fetch(`${url}/healthz`)).ok && "ready" as const;
    });
    if (!child.running()) {
        throw new Error(`The daemon ${name} exited during startup:\n${child.output().join("\n")}`);
    }
    const control = createControl(url, secrets.operatorToken);
    return { name, child, url, dataCentre, peerAddress, platformLink, control };
}

/** Log fields that are the same in all events of one daemon, or that are part of the formatted line already. */
const REPEATED_FIELDS = ["name", "daemon", "dataCentre", "hostname", "pid", "level", "v", "time", "msg"];

/** Formats a JSON log line as its time, message and event fields; returns other lines unchanged. */
function formatLogLine(line: string): string {
    try {
        const event = JSON.parse(line) as Record<string, unknown>;
        const fields = Object.entries(event).filter(([field]) => !REPEATED_FIELDS.includes(field));
        return `${event["time"]} ${event["msg"]} ${JSON.stringify(Object.fromEntries(fields))}`;
    }
    catch {
        return line;
    }
}
