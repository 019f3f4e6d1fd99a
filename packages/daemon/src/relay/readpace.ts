/**
 * Limits how fast long response bodies without a stated length are read, all of a process together: they may have no end.
 * The buffers of reads are collected late, so that without a limit the memory of the process grows with the speed of its
 * targets.
 */

/** Limit of the rate of small pieces of one body: chunks or events, which cost their number and not their bytes. */
export interface PieceRate {
    /** Counts pieces with so many bytes in all; returns how many milliseconds to wait before the next read. */
    read(pieces: number, bytes: number, now: number): number;
}

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

/** A piece of this size is as cheap as its bytes; smaller ones count in proportion to what they lack. */
const SMALL_PIECE_BYTES = 256;
/** Small pieces at the start of each body that are not limited; a model's whole answer has fewer events. */
const UNLIMITED_PIECES = 4_096;
/** Rate of the small pieces of one body beyond its start, many times that of the tokens of the fastest engine. */
const PIECES_PER_MILLISECOND = 2;

/** Creates the limit for one body. */
export function createPieceRate(): PieceRate {
    let small = 0;
    let dueAt = 0;
    return {
        read: (pieces, bytes, now) => {
            const added = Math.max(0, pieces - bytes / SMALL_PIECE_BYTES);
            small += added;
            if (added === 0 || small <= UNLIMITED_PIECES) {
                return 0;
            }
            dueAt = Math.max(dueAt, now) + added / PIECES_PER_MILLISECOND;
            return dueAt - now;
        },
    };
}

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
