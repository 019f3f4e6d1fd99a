/** Listeners with a relay of the test, and callers that speak to them over real sockets. */
import type { RelayConfiguration } from "@damaskvale/core";
import { freePort } from "@damaskvale/stand-ins";
import { stat } from "node:fs";
import { connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";
import { type Listeners, startListeners } from "../lifecycle.js";
import type { Relay } from "../relay.js";
import { createRelayState } from "../state.js";
import type { RelayState } from "../statetypes.js";

type Limits = RelayConfiguration["limits"];

/** Started listeners, and the state and events that belong to them. */
export interface ListenerFixture {
    readonly listeners: Listeners;
    readonly port: number;
    readonly state: RelayState;
    readonly events: { readonly name: string; readonly fields: Readonly<Record<string, unknown>>; }[];
    /** Publishes a configuration without routes that changes the given limits. */
    applyLimits(limits: Partial<Limits>): void;
}

/** A caller over a socket of its own. */
export interface RawCaller {
    send(text: string | Buffer): void;
    /** Sends a FIN; the caller goes on reading. */
    halfClose(): void;
    close(): void;
    received(): string;
    /** Resolves when the connection is closed, with whether it was reset. */
    readonly closed: Promise<{ readonly wasReset: boolean; }>;
}

/** Returns a promise that resolves after a delay. */
export const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/**
 * Holds the event loop in a callback of its poll phase. As after a pause of the process, timers run next, before bytes
 * that arrived meanwhile are read.
 */
export function holdEventLoop(milliseconds: number): Promise<void> {
    return new Promise(resolve =>
        stat(".", () => {
            Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
            resolve();
        })
    );
}

/** Starts listeners; a function stands for a relay that has nothing else to do. */
export async function startFixture(
    given: Relay | Relay["handle"],
    shutdownMilliseconds = 8_000,
): Promise<ListenerFixture> {
    const relay = typeof given === "function"
        ? {
            handle: given,
            handleFromDaemon: given,
            inProgress: () => 0,
            moveStreams: () => undefined,
            cancelWaiting: () => undefined,
            beginShutdown: () => undefined,
            stop: () => undefined,
        }
        : given;
    const state = createRelayState();
    const port = await freePort();
    const events: { name: string; fields: Readonly<Record<string, unknown>>; }[] = [];
    const listeners = await startListeners({
        log: { emit: (name, fields = {}) => void events.push({ name, fields }) },
        relay,
        state,
        callerListen: `127.0.0.1:${port}`,
        readinessListen: `127.0.0.1:${await freePort()}`,
        shutdownMilliseconds,
    });
    let version = 0;
    let limits: Limits = {
        headerBytes: 9_999,
        bodyBytes: 9_999,
        headerTimeoutMilliseconds: 5_000,
        idleTimeoutMilliseconds: 5_000,
    };
    const applyLimits = (change: Partial<Limits>): void => {
        version += 1;
        limits = { ...limits, ...change };
        state.applyConfiguration({ version, routes: [], services: [], limits });
    };
    applyLimits({});
    return { listeners, port, state, events, applyLimits };
}

const openSockets = new Set<Socket>();

/** Closes the connections of all callers, so that no request outlives its test. */
export function closeCallers(): void {
    openSockets.forEach(socket => socket.destroy());
    openSockets.clear();
}

/** Connects a caller. */
export async function connectCaller(port: number): Promise<RawCaller> {
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    openSockets.add(socket);
    let received = "";
    let wasReset = false;
    socket.on("data", (chunk: Buffer) => {
        received += chunk.toString("latin1");
    });
    socket.on("end", () => socket.end());
    socket.on("error", () => {
        wasReset = true;
    });
    const closed = new Promise<{ readonly wasReset: boolean; }>(resolve =>
        socket.once("close", () => resolve({ wasReset }))
    );
    await new Promise<void>(resolve => socket.once("connect", () => resolve()));
    return {
        send: text => void socket.write(text),
        halfClose: () => void socket.end(),
        close: () => void socket.destroy(),
        received: () => received,
        closed,
    };
}

/** What a caller sends and when, in milliseconds after its connection was accepted. */
export interface TimedText {
    readonly at: number;
    readonly text: string;
}

/** Runs in a worker, since the event loop of the test is held. */
const CALLER_SOURCE = `
const { parentPort, workerData } = require("node:worker_threads");
const socket = require("node:net").connect(workerData.port, "127.0.0.1");
let received = "";
let closing = "open";
socket.on("connect", () => {
    parentPort.postMessage("connected");
    workerData.texts.forEach(({ at, text }) => setTimeout(() => socket.write(text), at));
    setTimeout(() => parentPort.postMessage({ received, closing }), workerData.reportAt);
});
socket.on("data", chunk => { received += chunk; });
socket.on("error", () => { closing = "reset"; });
socket.on("end", () => { closing = "closed"; });
`;

/** Connects a caller that has an event loop of its own; `report` resolves at `reportAt` with what it has received. */
export async function connectIndependentCaller(
    port: number,
    texts: readonly TimedText[],
    reportAt: number,
): Promise<{ readonly report: Promise<{ readonly received: string; readonly closing: string; }>; }> {
    const worker = new Worker(CALLER_SOURCE, { eval: true, workerData: { port, texts, reportAt } });
    await new Promise(resolve => worker.once("message", resolve));
    const report = new Promise<{ received: string; closing: string; }>(resolve =>
        worker.once("message", message => {
            resolve(message as { received: string; closing: string; });
            void worker.terminate();
        })
    );
    return { report };
}

/** Returns the statuses of the responses in what a caller received. */
export function statusesOf(received: string): number[] {
    return [...received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match => Number(match[1]));
}
