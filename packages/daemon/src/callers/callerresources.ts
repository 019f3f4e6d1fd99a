/** Applies the account of what is held for callers to the connections of the daemon's listeners. */
import { type CallerAccount, callerBoundsFor, createCallerAccount, type ReservationResult } from "@damaskvale/core";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { EventLog } from "../ports/eventlog.js";
import { type CallerConnection, registerCallerConnection } from "./callerconnection.js";
import { type CallerNotices, createCallerNotices } from "./callernotices.js";
import { createInputPacing, type InputRules, type PacedInput } from "./inputpacing.js";

/** Resources that a daemon holds for callers, on all its listeners. */
export interface CallerResources {
    /** Covers the connections of a server that does not listen yet. */
    protect(server: Server): void;
    heldBytes(): number;
    connections(): number;
}

/** Open responses on one connection up to which further requests are parsed; above it they are read one at a time. */
const MOST_OPEN_RESPONSES = 4;
const SWEEP_MILLISECONDS = 250;
/** A body made progress when it grew by this share, or by a first piece. */
const PROGRESS_DIVISOR = 16;
const LEAST_PROGRESS_BYTES = 16;

/** Creates the resources; no server is covered yet. */
export function createCallerResources(memoryMegabytes: number, log: EventLog): CallerResources {
    return new CallerResourcesTask(memoryMegabytes, createCallerNotices(log));
}

class CallerResourcesTask implements CallerResources {
    readonly account: CallerAccount<TrackedConnection>;
    private readonly pacing = createInputPacing();
    private readonly tracked = new Map<Socket, TrackedConnection>();
    private readonly mostConnections: number;
    private timer: NodeJS.Timeout | undefined;

    constructor(memoryMegabytes: number, readonly notices: CallerNotices) {
        const bounds = callerBoundsFor(memoryMegabytes);
        this.account = createCallerAccount(bounds);
        this.mostConnections = bounds.connections;
    }

    protect(server: Server): void {
        server.on("connection", (socket: Socket) => this.accept(socket));
        const track = (message: IncomingMessage, response: ServerResponse): void =>
            this.tracked.get(message.socket)?.track(message, response);
        server.prependListener("request", track);
        server.prependListener("checkExpectation", track);
    }

    heldBytes(): number {
        return this.account.totalBytes();
    }

    connections(): number {
        return this.account.connections();
    }

    /** Closes connections until all the others are within the bounds. */
    enforce(): void {
        const now = performance.now();
        for (let worst = this.account.nextToClose(now); worst !== undefined; worst = this.account.nextToClose(now)) {
            const isTooMany = this.account.connections() > this.mostConnections;
            worst.giveUp(isTooMany ? "closed-for-connections" : "closed-for-memory");
        }
    }

    forget(connection: TrackedConnection): void {
        this.account.close(connection);
        this.tracked.delete(connection.socket);
        if (this.tracked.size === 0) {
            clearInterval(this.timer);
            this.timer = undefined;
        }
    }

    private accept(socket: Socket): void {
        if (socket.destroyed) {
            return;
        }
        this.timer ??= setInterval(() => this.sweep(), SWEEP_MILLISECONDS).unref();
        const connection = new TrackedConnection(socket, this);
        this.tracked.set(socket, connection);
        this.account.open(connection, performance.now());
        connection.attach(rules => this.pacing.attach(socket, rules));
        registerCallerConnection(socket, connection);
        socket.once("close", () => this.forget(connection));
        this.enforce();
    }

    private sweep(): void {
        const now = performance.now();
        this.tracked.forEach(connection => connection.observe(now));
        const waiting = [...this.tracked.values()].filter(connection => connection.isWaiting());
        if (waiting.some(connection => connection.hasWaitedSince(now - SWEEP_MILLISECONDS))) {
            this.account.nextToClose(now, 0)?.giveUp("closed-for-memory");
        }
        if (waiting.length > 0) {
            waiting.forEach(connection => connection.retry());
        }
        this.enforce();
    }
}

/** A body that is being received, or that is held until the response to its request has ended. */
interface TrackedBody {
    reservedBytes: number;
    receivedBytes: number;
    /** Received bytes from which on it has made progress again. */
    nextProgressBytes: number;
    /** Time from which on it waits for room. */
    waitingSince?: number;
    isWhole: boolean;
    decide?: (decision: "retry" | "give-up") => void;
}

class TrackedConnection implements CallerConnection {
    private readonly bodies = new Map<IncomingMessage, TrackedBody>();
    private openResponses = 0;
    private latest: IncomingMessage | undefined;
    private input: PacedInput | undefined;
    private takenBytes = 0;
    private isPauseRecorded = false;
    private readonly address: string | undefined;

    constructor(readonly socket: Socket, private readonly resources: CallerResourcesTask) {
        this.address = socket.remoteAddress;
    }

    attach(attachInput: (rules: InputRules) => PacedInput): void {
        this.input = attachInput({
            mayParseRequest: () => this.mayParseRequest(),
            mayParseBody: () => this.openResponses <= 1 && !this.isWaiting(),
            statedBodyBytes: () => {
                const { latest } = this;
                const stated = latest?.complete === false ? Number(latest.headers["content-length"]) : undefined;
                return stated === undefined || Number.isNaN(stated) ? undefined : stated;
            },
            isInBody: () => this.latest?.complete === false,
            onHeld: bytes => {
                this.resources.account.update(this, { inputBytes: bytes });
                this.resources.enforce();
            },
        });
    }

    track(message: IncomingMessage, response: ServerResponse): void {
        this.latest = message;
        this.openResponses += 1;
        this.updateRequests();
        response.once("close", () => {
            this.openResponses -= 1;
            this.drop(message);
            this.updateRequests();
            this.resources.account.recordProgress(this, performance.now());
            this.input?.continue();
        });
    }

    reserveBody(message: IncomingMessage, bytes: number): ReservationResult {
        const body = this.bodyOf(message);
        if (bytes === body.reservedBytes) {
            return "granted";
        }
        const result = this.resources.account.reserveBody(this, this.reservedBytes() - body.reservedBytes + bytes);
        if (result === "granted") {
            body.reservedBytes = bytes;
            this.resources.enforce();
        }
        return result;
    }

    recordBody(message: IncomingMessage, bytes: number): void {
        const body = this.bodyOf(message);
        body.receivedBytes += bytes;
        if (body.receivedBytes >= body.nextProgressBytes) {
            body.nextProgressBytes = body.receivedBytes
                + Math.max(LEAST_PROGRESS_BYTES, body.receivedBytes / PROGRESS_DIVISOR);
            this.resources.account.recordProgress(this, performance.now());
        }
    }

    releaseBody(message: IncomingMessage, reason: string): void {
        if (reason === "body-too-large") {
            this.resources.notices.record("body-too-large", this.address);
        }
        else if (reason === "overloaded") {
            this.resources.notices.record("refused-for-memory", this.address);
        }
        this.drop(message);
    }

    completeBody(message: IncomingMessage, bytes: number): void {
        const body = this.bodyOf(message);
        body.isWhole = true;
        body.decide = undefined;
        body.reservedBytes = bytes;
        this.updateBodies();
    }

    onDecision(message: IncomingMessage, decide: (decision: "retry" | "give-up") => void): void {
        this.bodyOf(message).decide = decide;
    }

    setWaiting(message: IncomingMessage, isWaiting: boolean): void {
        const body = this.bodyOf(message);
        if (isWaiting) {
            body.waitingSince ??= performance.now();
            return;
        }
        body.waitingSince = undefined;
        this.input?.continue();
    }

    isWaiting(): boolean {
        return [...this.bodies.values()].some(body => body.waitingSince !== undefined);
    }

    hasWaitedSince(time: number): boolean {
        return [...this.bodies.values()].some(({ waitingSince }) => waitingSince !== undefined && waitingSince <= time);
    }

    retry(): void {
        [...this.bodies.values()].filter(body => body.waitingSince !== undefined).forEach(body =>
            body.decide?.("retry")
        );
    }

    /** Notices what the caller has taken of its responses. */
    observe(now: number): void {
        const { socket } = this;
        const untaken = socket.writableLength;
        const taken = socket.bytesWritten - untaken;
        this.resources.account.update(this, { outputBytes: untaken });
        // A body that waits for room makes no progress through no fault of its caller.
        if (taken !== this.takenBytes || this.isWaiting()) {
            this.takenBytes = taken;
            this.resources.account.recordProgress(this, now);
        }
    }

    /** Refuses the request whose body is being received, or closes the connection if there is none. */
    giveUp(measure: "closed-for-memory" | "closed-for-connections"): void {
        const [receiving] = [...this.bodies.values()].filter(({ decide, reservedBytes }) =>
            decide !== undefined && reservedBytes > 0
        );
        if (receiving !== undefined && measure === "closed-for-memory") {
            receiving.decide?.("give-up");
            return;
        }
        this.resources.notices.record(measure, this.address);
        this.resources.forget(this);
        this.socket.destroy();
    }

    private mayParseRequest(): boolean {
        const mayParse = this.openResponses < MOST_OPEN_RESPONSES && !this.socket.writableNeedDrain;
        if (!mayParse && !this.isPauseRecorded) {
            this.isPauseRecorded = true;
            this.resources.notices.record("reading-paused", this.address);
        }
        return mayParse;
    }

    private bodyOf(message: IncomingMessage): TrackedBody {
        const body = this.bodies.get(message) ?? {
            reservedBytes: 0,
            receivedBytes: 0,
            nextProgressBytes: 0,
            isWhole: false,
        };
        this.bodies.set(message, body);
        return body;
    }

    private drop(message: IncomingMessage): void {
        if (this.bodies.delete(message)) {
            this.updateBodies();
        }
    }

    private reservedBytes(): number {
        let sum = 0;
        this.bodies.forEach(({ reservedBytes }) => {
            sum += reservedBytes;
        });
        return sum;
    }

    private updateBodies(): void {
        const { account } = this.resources;
        account.update(this, { bodyBytes: this.reservedBytes() });
        account.setRunning(this, [...this.bodies.values()].some(({ isWhole }) => isWhole));
    }

    private updateRequests(): void {
        this.resources.account.update(this, { requests: this.openResponses });
    }
}
