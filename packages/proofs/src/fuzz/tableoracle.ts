/** Reference implementation of the table: replays the whole history of the stream with plain maps. */
import type { Entry } from "@damaskvale/core";

/** State of the reference implementation at one offset. */
export interface ReferenceTable {
    /** Serialised table; equal tables have equal texts. */
    readonly text: string;
    readonly isHalted: boolean;
}

/** Decision of the reference implementation on a record. */
export interface ReferenceDecision {
    readonly accepted: boolean;
    readonly offset: number;
}

interface EditRecord {
    readonly version: number;
    readonly id: string;
    readonly basis: number;
    readonly body?: {
        readonly kind: string;
        readonly key: string;
        readonly baseRevision: number;
        readonly row?: object;
    };
}

/** Maximum number of offsets between the basis and the record of an edit; repeated here to be independent of the code. */
const WINDOW = 4096;

/** Reference implementation of the stream `configuration`. */
export class TableOracle {
    private readonly rows = new Map<string, { readonly revision: number; readonly row: object; }>();
    private readonly decisions = new Map<string, ReferenceDecision>();
    private readonly states: ReferenceTable[] = [{ text: "", isHalted: false }];
    private haltedAt: number | undefined;

    /** Returns the table after all entries below `nextOffset`. */
    tableAt(history: readonly Entry[], nextOffset: number): ReferenceTable | undefined {
        this.replay(history);
        return this.states[nextOffset];
    }

    /** Returns the offset after the last entry that can be folded. */
    endOffset(history: readonly Entry[]): number {
        this.replay(history);
        return this.haltedAt ?? history.length;
    }

    /** Returns the first decision of a record. */
    firstDecision(history: readonly Entry[], id: string): ReferenceDecision | undefined {
        this.replay(history);
        return this.decisions.get(id);
    }

    private replay(history: readonly Entry[]): void {
        for (
            let offset = this.states.length - 1;
            offset < history.length && this.haltedAt === undefined;
            offset += 1
        ) {
            const changed = this.apply(offset, history[offset]?.value as EditRecord | string);
            if (this.haltedAt === undefined) {
                const text = changed ? tableText(this.rows) : this.states[offset]?.text ?? "";
                this.states.push({ text, isHalted: false });
            }
        }
    }

    /** Returns whether the table changed. */
    private apply(offset: number, record: EditRecord | string): boolean {
        if (typeof record === "string") {
            return false;
        }
        if (record.version !== 1 || record.body?.kind !== "edit") {
            this.haltedAt = offset;
            return false;
        }
        const earlier = this.decisions.get(record.id);
        if (earlier !== undefined && offset - earlier.offset <= WINDOW + 1) {
            return false;
        }
        const { key, baseRevision, row } = record.body;
        const revision = this.rows.get(key)?.revision ?? 0;
        const accepted = offset - record.basis <= WINDOW && revision === baseRevision
            && (row !== undefined || this.rows.has(key));
        this.decisions.set(record.id, earlier ?? { accepted, offset });
        if (accepted && row !== undefined) {
            this.rows.set(key, { revision: offset + 1, row });
        }
        else if (accepted) {
            this.rows.delete(key);
        }
        return accepted;
    }
}

/** Serialises rows as key, revision and weight. */
export function tableText(
    rows: Iterable<readonly [string, { readonly revision: number; readonly row: object; }]>,
): string {
    return [...rows].map(([key, { revision, row }]) => `${key}@${revision}=${(row as { weight?: number; }).weight}`)
        .sort().join(" ");
}
