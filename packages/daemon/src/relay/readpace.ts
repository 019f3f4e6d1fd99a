/**
 * Limits how fast long response bodies without a stated length are read, all of a process together: they may have no end.
 * The buffers of reads are collected late, so that without a limit the memory of the process grows with the speed of its
 * targets.
 */

/** Limit of the reads of all long bodies. */
export interface ReadPace {
    /** Starts to count the bytes of one body. */
    start(): BodyPace;
}

/** Reads of one body. */
export interface BodyPace {
    /** Counts bytes that were read at a time in milliseconds; returns how many milliseconds to wait before the next read. */
    read(bytes: number, now: number): number;
}

/** Bytes at the start of each body that are not limited, so that events and short answers are never delayed. */
const UNLIMITED_BYTES = 1_048_576;
/** Rate of all such bodies together beyond their starts. */
const BYTES_PER_MILLISECOND = 32_768;

/** Creates the limit. */
export function createReadPace(): ReadPace {
    return new ReadPaceState();
}

class ReadPaceState implements ReadPace {
    /** Time at which all limited bytes that were read so far are due. */
    private dueAt = 0;

    start(): BodyPace {
        let bodyBytes = 0;
        return {
            read: (bytes, now) => {
                bodyBytes += bytes;
                return bodyBytes > UNLIMITED_BYTES ? this.wait(bytes, now) : 0;
            },
        };
    }

    private wait(bytes: number, now: number): number {
        this.dueAt = Math.max(this.dueAt, now) + bytes / BYTES_PER_MILLISECOND;
        return this.dueAt - now;
    }
}
