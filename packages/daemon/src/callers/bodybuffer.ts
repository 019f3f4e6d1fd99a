/**
 * Bytes of a body that is being received, in pieces that are never copied until it is whole. A buffer that grows by doubling
 * leaves copies behind that take as much memory again until they are collected.
 */

/** Bytes that arrived so far. */
export interface BodyBuffer {
    length(): number;
    /** Memory that the buffer takes once as many further bytes are appended. */
    capacityWith(bytes: number): number;
    append(bytes: Buffer): void;
    /** Empties the buffer and returns its bytes. */
    take(): Buffer;
    clear(): void;
}

const FIRST_PIECE_BYTES = 1_024;
const LARGEST_PIECE_BYTES = 262_144;

/** Creates an empty buffer. */
export function createBodyBuffer(): BodyBuffer {
    let pieces: Buffer[] = [];
    let capacity = 0;
    let used = 0;
    const nextPieceBytes = (missing: number): number =>
        Math.max(missing, Math.min(LARGEST_PIECE_BYTES, Math.max(FIRST_PIECE_BYTES, capacity)));
    const capacityWith = (bytes: number): number =>
        used + bytes <= capacity ? capacity : capacity + nextPieceBytes(used + bytes - capacity);
    const clear = (): void => {
        pieces = [];
        capacity = 0;
        used = 0;
    };
    return {
        length: () => used,
        capacityWith,
        append: bytes => {
            let offset = 0;
            while (offset < bytes.length) {
                if (used === capacity) {
                    const piece = Buffer.allocUnsafeSlow(nextPieceBytes(bytes.length - offset));
                    pieces.push(piece);
                    capacity += piece.length;
                }
                const last = pieces[pieces.length - 1] as Buffer;
                const copied = bytes.copy(last, last.length - (capacity - used), offset);
                offset += copied;
                used += copied;
            }
        },
        take: () => {
            const [first] = pieces;
            const whole = pieces.length === 1 && first !== undefined
                ? first.subarray(0, used)
                : Buffer.concat(pieces, used);
            clear();
            return whole;
        },
        clear,
    };
}
