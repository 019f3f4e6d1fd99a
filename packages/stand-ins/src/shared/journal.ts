/** Journal of the work that a stand-in executed. Tests read it to check what ran, when and how often. */
import { createHash } from "node:crypto";

/** Executed request or order. Times are wall clock milliseconds; `end` is absent while the work is in progress. */
export interface JournalEntry {
    readonly sequence: number;
    readonly kind: string;
    readonly start: number;
    end?: number;
    result?: string;
    readonly attempt?: string;
    readonly key?: string;
    readonly bodyHash?: string;
    readonly group?: string;
    readonly fence?: number;
    readonly detail?: Readonly<Record<string, unknown>>;
}

/** Work journal of one process. */
export interface Journal {
    start(kind: string, fields?: Omit<JournalEntry, "sequence" | "kind" | "start" | "end" | "result">): JournalEntry;
    finish(entry: JournalEntry, result: string): void;
    entries(): readonly JournalEntry[];
}

/** Above this count the journal drops its oldest half, so that a long benchmark does not run out of memory. */
const MAXIMUM_ENTRIES = 100_000;

/** Creates an empty journal. */
export function createJournal(): Journal {
    let entries: JournalEntry[] = [];
    let sequence = 0;
    return {
        start: (kind, fields = {}) => {
            const entry: JournalEntry = { sequence: sequence++, kind, start: Date.now(), ...fields };
            entries.push(entry);
            if (entries.length > MAXIMUM_ENTRIES) {
                entries = entries.slice(MAXIMUM_ENTRIES / 2);
            }
            return entry;
        },
        finish: (entry, result) => {
            entry.end = Date.now();
            entry.result = result;
        },
        entries: () => entries,
    };
}

/** Returns the SHA-256 hash of a request body in hex. */
export function hashBody(body: Buffer | string): string {
    return createHash("sha256").update(body).digest("hex");
}
