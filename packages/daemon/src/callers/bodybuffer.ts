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

/** Pieces that are kept for further bodies: 4 MiB. Node frees a piece only when garbage is collected, tens of megabytes later. */
const MOST_FREE_PIECES = 16;
const freePieces: Buffer[] = [];

function takePiece(bytes: number): Buffer {
    const free = bytes === LARGEST_PIECE_BYTES ? freePieces.pop() : undefined;
    return free ?? Buffer.allocUnsafeSlow(bytes);
}

function freePiece(piece: Buffer): void {
    if (piece.length === LARGEST_PIECE_BYTES && freePieces.length < MOST_FREE_PIECES) {
        freePieces.push(piece);
    }
}

/** Creates an empty buffer. */
export function createBodyBuffer(): BodyBuffer {
    let pieces: Buffer[] = [];
    let capacity = 0;
    let used = 0;
    const nextPieceBytes = (missing: number): number =>
        Math.max(missing, Math.min(LARGEST_PIECE_BYTES, Math.max(FIRST_PIECE_BYTES, capacity)));
    const capacityWith = (bytes: number): number =>
        used + bytes <= capacity ? capacity : capacity + nextPieceBytes(used + bytes - capacity);
    const forget = (): void => {
        pieces = [];
        capacity = 0;
        used = 0;
    };
    const clear = (): void => {
        pieces.forEach(freePiece);
        forget();
    };
    return {
        length: () => used,
        capacityWith,
        append: bytes => {
            let offset = 0;
            while (offset < bytes.length) {
                if (used === capacity) {
                    const piece = takePiece(nextPieceBytes(bytes.length - offset));
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
            if (pieces.length === 1 && first !== undefined) {
                // The piece belongs to the body from now on.
                const body = first.subarray(0, used);
                forget();
                return body;
            }
            const joined = Buffer.concat(pieces, used);
            clear();
            return joined;
        },
        clear,
    };
}
