/** Child processes of a test run. Only processes started here are signalled, and none outlives this process. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";

/** Script to run as a child process of the current Node.js version. */
export interface ChildSpec {
    readonly name: string;
    readonly script: string;
    readonly args: readonly string[];
    readonly environment?: Readonly<Record<string, string>>;
}

/** Exit status of a child process. */
export interface ExitStatus {
    readonly code?: number;
    readonly signal?: NodeJS.Signals;
}

/** Child process, running or exited. */
export interface Child {
    readonly name: string;
    readonly pid: number;
    readonly exited: Promise<ExitStatus>;
    running(): boolean;
    /** Returns the most recent lines of standard output and standard error. */
    output(): readonly string[];
    /** Resolves to the first line of standard output; rejects if the child exits before it writes one. */
    firstLine(): Promise<string>;
    signal(signal: NodeJS.Signals): void;
    /** Sends SIGTERM, then SIGKILL if the child has not exited after `boundMilliseconds`. */
    stop(boundMilliseconds: number): Promise<ExitStatus>;
    kill(): Promise<ExitStatus>;
}

const MAXIMUM_OUTPUT_LINES = 5000;
const children = new Set<ChildProcess>();
let exitHandlersInstalled = false;

/** Starts a child process. It inherits the environment without the `DAMASKVALE_` settings, plus `environment`. */
export function startChild({ name, script, args, environment = {} }: ChildSpec): Child {
    installExitHandlers();
    const inherited = Object.entries(process.env).filter(([key]) => !key.startsWith("DAMASKVALE_"));
    const child = spawn(process.execPath, [script, ...args], {
        env: { ...Object.fromEntries(inherited), ...environment },
        stdio: ["pipe", "pipe", "pipe"],
    });
    children.add(child);
    const output: string[] = [];
    const recordLine = (line: string): void => {
        output.push(line);
        if (output.length > MAXIMUM_OUTPUT_LINES) {
            output.splice(0, MAXIMUM_OUTPUT_LINES / 2);
        }
    };
    const lines = createInterface({ input: child.stdout });
    lines.on("line", recordLine);
    createInterface({ input: child.stderr }).on("line", recordLine);
    const exited = once(child, "exit").then(([code, signal]): ExitStatus => {
        children.delete(child);
        return { code: code ?? undefined, signal: signal ?? undefined };
    });
    const firstLine = Promise.race([
        once(lines, "line").then(([line]) => line as string),
        exited.then(status => {
            throw new Error(`${name} ended before it was ready: ${JSON.stringify(status)}\n${output.join("\n")}`);
        }),
    ]);
    firstLine.catch(() => undefined);
    const running = (): boolean => children.has(child);
    const signal = (signalName: NodeJS.Signals): void => {
        child.kill(signalName);
    };
    const kill = (): Promise<ExitStatus> => {
        signal("SIGKILL");
        return exited;
    };
    return {
        name,
        pid: child.pid!,
        exited,
        running,
        output: () => output,
        firstLine: () => firstLine,
        signal,
        kill,
        stop: async boundMilliseconds => {
            signal("SIGCONT");
            signal("SIGTERM");
            const timer = new AbortController();
            const killed = delay(boundMilliseconds, undefined, { signal: timer.signal }).then(kill, () => exited);
            const status = await Promise.race([exited, killed]);
            timer.abort();
            return status;
        },
    };
}

/** Sends SIGKILL to all children of this process. */
export function killChildren(): void {
    [...children].forEach(child => child.kill("SIGKILL"));
}

/** Returns the number of running children. */
export function childCount(): number {
    return children.size;
}

function installExitHandlers(): void {
    if (exitHandlersInstalled) {
        return;
    }
    exitHandlersInstalled = true;
    process.on("exit", killChildren);
    // Without a handler, a signal ends this process without running its exit handlers and leaves the children running.
    const signals = [["SIGINT", 130], ["SIGTERM", 143], ["SIGHUP", 129]] as const;
    signals.filter(([signal]) => process.listenerCount(signal) === 0).forEach(([signal, code]) =>
        process.once(signal, () => process.exit(code))
    );
}
