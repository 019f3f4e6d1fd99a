/** Journal of the work that a stand-in really executed. Proofs read it to check what ran, when and how often. */
import { createHash } from "node:crypto";

/** One executed request or order. Times are wall milliseconds; `end` is absent while the work is in progress. */
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

/** Journal of one process. */
export interface Journal {
    start(kind: string, fields?: Omit<JournalEntry, "sequence" | "kind" | "start" | "end" | "result">): JournalEntry;
    finish(entry: JournalEntry, result: string): void;
    entries(): readonly JournalEntry[];
}

/** The journal drops its oldest half above this count, so that a long benchmark does not fill the memory. */
const MAXIMUM_ENTRIES = 100_000;

/** Makes an empty journal. */
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

/** Returns the SHA-256 of a request body in hex. */
export function hashBody(body: Buffer | string): string {
    return createHash("sha256").update(body).digest("hex");
}
