/**
 * Parses what callers send in small pieces. Node's HTTP server parses each read of up to 64 KiB at once: thousands of pipelined
 * requests, each with objects of several kilobytes, or ten thousand chunks of one byte, during which no other caller is served.
 */
import type { Socket } from "node:net";

/** What decides whether a connection is parsed further. */
export interface InputRules {
    /** Whether a further request may be parsed. */
    mayParseRequest(): boolean;
    /** Whether the rest of the body of the latest request may be parsed. */
    mayParseBody(): boolean;
    /** Bytes of the stated length of the latest request's body; undefined unless one is being received. */
    statedBodyBytes(): number | undefined;
    /** Whether the latest request has not been parsed to its end. */
    isInBody(): boolean;
    /** Called when the number of bytes that wait to be parsed changes. */
    onHeld(bytes: number): void;
}

/** Input of one connection. */
export interface PacedInput {
    /** Tries again after the rules may have changed. */
    continue(): void;
}

/** Shares the event loop between the connections of a daemon. */
export interface InputPacing {
    attach(socket: Socket, rules: InputRules): PacedInput;
}

/** Some 680 chunks of one byte, which take one to two milliseconds on a small host. */
const PIECE_BYTES = 4_096;
/**
 * Parsing in one turn of the event loop, after which timers and other connections have their turn. Node accepts one connection a
 * turn, so that long turns keep callers from connecting.
 */
const TURN_MILLISECONDS = 4;
/** A read of this size is followed by others at once. */
const FULL_READ_BYTES = 65_536;
const END_OF_HEAD = Buffer.from("\r\n\r\n");

const heldInputs = new WeakMap<Socket, () => number>();

/** Returns whether bytes of a connection have been read that are not parsed yet. */
export function holdsInput(socket: Socket): boolean {
    return (heldInputs.get(socket)?.() ?? 0) > 0;
}

/** Creates the pacing of all connections of a daemon. */
export function createInputPacing(): InputPacing {
    const turns = new ParsingTurns();
    return { attach: (socket, rules) => new PacedInputTask(socket, rules, turns) };
}

/** Connections that wait for the event loop, in the order in which they came. */
class ParsingTurns {
    private readonly waiting = new Set<PacedInputTask>();
    /** Those of which little waits, as of ordinary requests; they come before the others. */
    private readonly waitingForLittle = new Set<PacedInputTask>();
    private endsAt = 0;
    private isScheduled = false;

    /** Returns whether a connection may parse a piece in this turn. */
    hasTime(): boolean {
        const now = performance.now();
        if (!this.isScheduled) {
            this.endsAt = now + TURN_MILLISECONDS;
            this.schedule();
        }
        return now < this.endsAt;
    }

    /** Whether no connection waits, so that a small read costs no more than it would without turns. */
    isIdle(): boolean {
        return !this.isScheduled;
    }

    enqueue(input: PacedInputTask): void {
        this.remove(input);
        (input.waitsForLittle() ? this.waitingForLittle : this.waiting).add(input);
        this.schedule();
    }

    remove(input: PacedInputTask): void {
        this.waiting.delete(input);
        this.waitingForLittle.delete(input);
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.run());
        }
    }

    private run(): void {
        this.isScheduled = false;
        if (this.waiting.size + this.waitingForLittle.size === 0) {
            return;
        }
        this.endsAt = performance.now() + TURN_MILLISECONDS;
        // Reads that follow in this turn share its time.
        this.schedule();
        const [first] = this.waiting;
        this.parse([...this.waitingForLittle]);
        if (first !== undefined) {
            // Small inputs without end must not keep the others waiting.
            this.waiting.delete(first);
            first.parseOnce();
        }
        this.parse([...this.waiting]);
    }

    private parse(inputs: readonly PacedInputTask[]): void {
        for (const input of inputs) {
            if (performance.now() >= this.endsAt) {
                return;
            }
            this.remove(input);
            input.parseOnce();
        }
    }
}

class PacedInputTask implements PacedInput {
    private held: Buffer[] = [];
    private heldBytes = 0;
    /** Number of bytes that was last stated to the rules. */
    private statedHeldBytes = 0;
    private readonly parse: (bytes: Buffer) => void;
    private readonly resumeSocket: () => Socket;
    private readonly pauseSocket: () => Socket;
    /** Whether another part, such as the reader of a body that waits, has paused the connection. */
    private isPausedByOthers = false;
    private isParsing = false;
    /** Bytes of a body of stated length that are still to be parsed. */
    private statedBytes = 0;
    /** How many bytes of the end of a head the last piece ended with. */
    private matched = 0;

    constructor(
        private readonly socket: Socket,
        private readonly rules: InputRules,
        private readonly turns: ParsingTurns,
    ) {
        const listeners = socket.listeners("data") as ((bytes: Buffer) => void)[];
        this.resumeSocket = socket.resume.bind(socket);
        this.pauseSocket = socket.pause.bind(socket);
        this.parse = bytes => listeners.forEach(listener => listener.call(socket, bytes));
        // A listener makes Node's parser give up reading from the connection by itself.
        socket.on("data", (bytes: Buffer) => this.receive(bytes));
        listeners.forEach(listener => socket.off("data", listener));
        socket.pause = () => {
            this.isPausedByOthers = true;
            return this.pauseSocket();
        };
        socket.resume = () => {
            this.isPausedByOthers = false;
            if (this.heldBytes === 0) {
                return this.resumeSocket();
            }
            this.continue();
            return socket;
        };
        socket.on("drain", () => this.continue());
        socket.once("close", () => this.discard());
        heldInputs.set(socket, () => this.heldBytes);
    }

    continue(): void {
        if (this.heldBytes > 0 && !this.isParsing && !this.isPausedByOthers) {
            this.turns.enqueue(this);
        }
    }

    waitsForLittle(): boolean {
        return this.heldBytes <= PIECE_BYTES;
    }

    /** Parses one piece of what waits, if the rules allow it, and reads on if nothing does. */
    parseOnce(): void {
        if (this.isPausedByOthers || this.socket.destroyed) {
            return;
        }
        if (this.heldBytes === 0) {
            this.resumeSocket();
            return;
        }
        if (!this.parseNext()) {
            return;
        }
        this.settle();
    }

    private receive(bytes: Buffer): void {
        if (!this.socket.writable) {
            // The response before has ended the connection, so that no further request could get one.
            return;
        }
        this.held.push(bytes);
        this.heldBytes += bytes.length;
        const isFree = this.heldBytes <= PIECE_BYTES && this.turns.isIdle();
        while (
            this.heldBytes > 0 && !this.isPausedByOthers && (isFree || this.turns.hasTime()) && this.parseNext()
        ) {
            // Goes on until the read is parsed, or another part or the rules stop it.
        }
        this.settle();
        if (bytes.length >= FULL_READ_BYTES && this.heldBytes === 0 && !this.socket.destroyed) {
            // The operating system may have up to 2 MB more, which would be read in the same turn.
            this.pauseSocket();
            this.turns.enqueue(this);
        }
    }

    /** Reads on if everything is parsed, and otherwise not until then. */
    private settle(): void {
        if (this.heldBytes !== this.statedHeldBytes) {
            this.statedHeldBytes = this.heldBytes;
            this.rules.onHeld(this.heldBytes);
        }
        if (this.socket.destroyed) {
            return;
        }
        if (!this.socket.writable) {
            this.discard();
        }
        if (this.heldBytes > 0) {
            this.pauseSocket();
            this.continue();
        }
        else if (!this.isPausedByOthers) {
            this.resumeSocket();
        }
    }

    /** Parses the next piece; returns whether it was allowed to. */
    private parseNext(): boolean {
        if (!this.socket.writable) {
            this.discard();
            return true;
        }
        const isInBody = this.statedBytes > 0 || this.rules.isInBody();
        if (isInBody ? !this.rules.mayParseBody() : !this.rules.mayParseRequest()) {
            return false;
        }
        const piece = this.takePiece();
        this.isParsing = true;
        try {
            this.parse(piece);
        }
        finally {
            this.isParsing = false;
        }
        if (this.statedBytes > 0) {
            this.statedBytes -= piece.length;
        }
        else if (!isInBody) {
            // A piece contains no byte that follows a head.
            this.statedBytes = this.rules.statedBodyBytes() ?? 0;
        }
        return true;
    }

    /** Returns the next piece: the rest of a body of stated length, or at most one head or the end of one chunked body. */
    private takePiece(): Buffer {
        const first = this.held[0] as Buffer;
        const isStated = this.statedBytes > 0;
        const length = isStated ? Math.min(first.length, this.statedBytes) : pieceLength(first, this.matched);
        this.matched = isStated ? 0 : matchedAtEnd(first, length, this.matched);
        this.heldBytes -= length;
        if (length === first.length) {
            this.held.shift();
            return first;
        }
        this.held[0] = first.subarray(length);
        return first.subarray(0, length);
    }

    private discard(): void {
        this.held = [];
        this.heldBytes = 0;
        this.turns.remove(this);
    }
}

/** Returns the length of the next piece, which ends with a head or a chunked body if one ends in it. */
function pieceLength(bytes: Buffer, matched: number): number {
    const window = bytes.length > PIECE_BYTES ? bytes.subarray(0, PIECE_BYTES) : bytes;
    // The end may be divided between two pieces.
    for (let before = matched; before > 0; before -= 1) {
        const rest = END_OF_HEAD.subarray(before);
        if (window.subarray(0, rest.length).equals(rest) && canFollow(matched, before)) {
            return rest.length;
        }
    }
    const end = window.indexOf(END_OF_HEAD);
    return end === -1 ? window.length : end + END_OF_HEAD.length;
}

/** Whether a piece that ends with so many bytes of the end of a head also ends with fewer of them: CRLF CR ends with CR. */
function canFollow(matched: number, fewer: number): boolean {
    return matched === fewer || (matched === 3 && fewer === 1);
}

/** Returns how many bytes of the end of a head a piece ends with. */
function matchedAtEnd(bytes: Buffer, length: number, matched: number): number {
    let count = length >= END_OF_HEAD.length ? 0 : matched;
    for (let index = Math.max(0, length - END_OF_HEAD.length); index < length; index += 1) {
        const byte = bytes[index];
        if (count === END_OF_HEAD.length) {
            count = 0;
        }
        count = byte === END_OF_HEAD[count] ? count + 1 : byte === END_OF_HEAD[0] ? 1 : 0;
    }
    return count % END_OF_HEAD.length;
}
