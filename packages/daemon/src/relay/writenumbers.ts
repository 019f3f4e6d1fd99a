/**
 * Numbers of the entries that processes write. They reach this daemon from the store and from collectors, in any order. A target
 * whose entries state no start has a new id with each start, so that its numbers do not begin again.
 */
import type { Target } from "@damaskvale/core";

/** Highest number of each process. */
export interface WriteNumbers {
    /**
     * Records the number of an entry; returns whether its process had written another one after it before. Without a number, that
     * of the entry is used, with which its text was first read.
     */
    isLate(entry: Target, writeNumber?: number): boolean;
    forget(id: string): void;
}

/** Creates an empty record. */
export function createWriteNumbers(): WriteNumbers {
    const highest = new Map<string, { readonly startedAt?: number; readonly writeNumber: number; }>();
    return {
        isLate: ({ id, startedAt, entryNumber }, writeNumber = entryNumber) => {
            const known = highest.get(id);
            if (known !== undefined && known.startedAt === startedAt && writeNumber < known.writeNumber) {
                return true;
            }
            if (known?.writeNumber !== writeNumber || known.startedAt !== startedAt) {
                highest.set(id, { startedAt, writeNumber });
            }
            return false;
        },
        forget: id => void highest.delete(id),
    };
}
