/** Bytes collected in one piece of memory: many small chunks, each a buffer of its own, take a hundred times their size. */

/** Buffer whose capacity doubles, so that appending many small chunks takes linear time and little memory. */
export interface GrowingBuffer {
    length(): number;
    lastByte(): number | undefined;
    append(bytes: Buffer): void;
    /** Empties the buffer and returns its bytes. */
    take(): Buffer;
    /** Empties the buffer and returns its bytes followed by `bytes`. */
    takeWith(bytes: Buffer): Buffer;
}

/** Creates an empty buffer. */
export function createGrowingBuffer(): GrowingBuffer {
    let storage = Buffer.alloc(0);
    let used = 0;
    return {
        length: () => used,
        lastByte: () => used === 0 ? undefined : storage[used - 1],
        append: bytes => {
            if (used + bytes.length > storage.length) {
                const larger = Buffer.allocUnsafe(Math.max(2 * storage.length, used + bytes.length));
                storage.copy(larger, 0, 0, used);
                storage = larger;
            }
            bytes.copy(storage, used);
            used += bytes.length;
        },
        take: () => {
            const whole = storage.subarray(0, used);
            storage = Buffer.alloc(0);
            used = 0;
            return whole;
        },
        takeWith: bytes => {
            const whole = used === 0 ? bytes : Buffer.concat([storage.subarray(0, used), bytes]);
            used = 0;
            return whole;
        },
    };
}

/** Returns the bytes of all pieces in order; those of a single piece are not copied. */
export function joinBytes(pieces: readonly Buffer[]): Buffer {
    const [first] = pieces;
    return first !== undefined && pieces.length === 1 ? first : Buffer.concat(pieces);
}
