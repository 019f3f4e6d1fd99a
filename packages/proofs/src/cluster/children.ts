/** Child processes of a proof. Only processes started here are ever signalled, and none outlives this process. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";

/** What to start: a script run by this Node.js. */
export interface ChildSpec {
    readonly name: string;
    readonly script: string;
    readonly args: readonly string[];
    readonly environment?: Readonly<Record<string, string>>;
}

/** How a child ended. */
export interface ExitStatus {
    readonly code?: number;
    readonly signal?: NodeJS.Signals;
}

/** Running or ended child. */
export interface Child {
    readonly name: string;
    readonly pid: number;
    readonly exited: Promise<ExitStatus>;
    running(): boolean;
    /** Newest lines of standard output and standard error. */
    output(): readonly string[];
    /** First line of standard output; rejects if the child ends before it. */
    firstLine(): Promise<string>;
    signal(signal: NodeJS.Signals): void;
    /** Ends the child with SIGTERM, and with SIGKILL after `boundMilliseconds`. */
    stop(boundMilliseconds: number): Promise<ExitStatus>;
    kill(): Promise<ExitStatus>;
}

const OUTPUT_LINES = 5000;
const children = new Set<ChildProcess>();
let guarded = false;

/** Starts a child. Its environment is ours without the daemon's settings, plus `environment`. */
export function startChild({ name, script, args, environment = {} }: ChildSpec): Child {
    guard();
    const inherited = Object.entries(process.env).filter(([key]) => !key.startsWith("DAMASKVALE_"));
    const child = spawn(process.execPath, [script, ...args], {
        env: { ...Object.fromEntries(inherited), ...environment },
        stdio: ["pipe", "pipe", "pipe"],
    });
    children.add(child);
    const output: string[] = [];
    const keep = (line: string): void => {
        output.push(line);
        if (output.length > OUTPUT_LINES) {
            output.splice(0, OUTPUT_LINES / 2);
        }
    };
    const lines = createInterface({ input: child.stdout });
    lines.on("line", keep);
    createInterface({ input: child.stderr }).on("line", keep);
    const exited = once(child, "exit").then(([code, signal]): ExitStatus => {
        children.delete(child);
        return { code: code ?? undefined, signal: signal ?? undefined };
    });
    const first = Promise.race([
        once(lines, "line").then(([line]) => line as string),
        exited.then(status => {
            throw new Error(`${name} ended before it was ready: ${JSON.stringify(status)}\n${output.join("\n")}`);
        }),
    ]);
    first.catch(() => undefined);
    const running = (): boolean => children.has(child);
    const signal = (wanted: NodeJS.Signals): void => {
        child.kill(wanted);
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
        firstLine: () => first,
        signal,
        kill,
        stop: async boundMilliseconds => {
            signal("SIGCONT");
            signal("SIGTERM");
            const bound = new AbortController();
            const late = delay(boundMilliseconds, undefined, { signal: bound.signal }).then(kill, () => exited);
            const status = await Promise.race([exited, late]);
            bound.abort();
            return status;
        },
    };
}

/** Ends all children of this process at once. */
export function killChildren(): void {
    [...children].forEach(child => child.kill("SIGKILL"));
}

/** Number of children that run. */
export function childCount(): number {
    return children.size;
}

function guard(): void {
    if (guarded) {
        return;
    }
    guarded = true;
    process.on("exit", killChildren);
    // A signal without a handler would end this process without its exit handlers, and leave the children behind.
    const signals = [["SIGINT", 130], ["SIGTERM", 143], ["SIGHUP", 129]] as const;
    signals.filter(([signal]) => process.listenerCount(signal) === 0).forEach(([signal, code]) =>
        process.once(signal, () => process.exit(code))
    );
}
