/** Output for log lines that never blocks the process: lines beyond a bound are dropped and counted. */
import { write } from "node:fs";
import { Writable } from "node:stream";

/** Bounded output for log lines. */
export interface BoundedOutput {
    readonly stream: Writable;
    /** Number of lines dropped since the start. */
    dropped(): number;
    /** Writes the lines that are collected; resolves when they are written, or after the given time. */
    flush(limitMilliseconds: number): Promise<void>;
}

/** Lines that would exceed this many pending bytes are dropped. */
const MAXIMUM_PENDING_BYTES = 1_048_576;
/** Lines are collected for this long, so that one write carries many of them. */
export const COLLECT_MILLISECONDS = 400;

/** Writes all or part of a block and reports the bytes written. `node:fs` writes off the main thread, even to a pipe. */
export type BlockWriter = (
    descriptor: number,
    block: Buffer,
    offset: number,
    length: number,
    done: (error: NodeJS.ErrnoException | null, written: number) => void, // eslint-disable-line no-restricted-syntax
) => void;

/** Creates an output that writes to a file descriptor. */
export function createBoundedOutput(descriptor: number, writeBlock: BlockWriter = write): BoundedOutput {
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    let writing = false;
    let dropped = 0;
    let onWritten: () => void = () => undefined;

    const flush = (): void => {
        if (writing) {
            return;
        }
        if (pending.length === 0) {
            onWritten();
            return;
        }
        const block = Buffer.concat(pending);
        pending = [];
        pendingBytes = 0;
        writing = true;
        writeAll(writeBlock, descriptor, block, () => {
            writing = false;
            flush();
        });
    };
    let timer: NodeJS.Timeout | undefined;
    const flushSoon = (): void => {
        timer ??= setTimeout(() => {
            timer = undefined;
            flush();
        }, COLLECT_MILLISECONDS).unref();
    };
    const stream = new Writable({
        write: (chunk: Buffer, ...[, done]) => {
            if (pendingBytes + chunk.length > MAXIMUM_PENDING_BYTES) {
                dropped += 1;
            }
            else {
                pending.push(chunk);
                pendingBytes += chunk.length;
                flushSoon();
            }
            done();
        },
        final: done => {
            flush();
            done();
        },
    });
    return {
        stream,
        dropped: () => dropped,
        flush: limitMilliseconds =>
            new Promise(resolve => {
                onWritten = resolve;
                setTimeout(resolve, limitMilliseconds);
                flush();
            }),
    };
}

function writeAll(writeBlock: BlockWriter, descriptor: number, block: Buffer, done: () => void): void {
    writeBlock(descriptor, block, 0, block.length, (error, written) => {
        const retry = error?.code === "EAGAIN";
        if (error && !retry) {
            done();
            return;
        }
        const rest = block.subarray(retry ? 0 : written);
        if (rest.length === 0) {
            done();
            return;
        }
        setTimeout(() => writeAll(writeBlock, descriptor, rest, done), retry ? COLLECT_MILLISECONDS : 0);
    });
}
