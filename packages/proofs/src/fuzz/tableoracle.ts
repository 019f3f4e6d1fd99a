/** Simple reference of the table: plays the whole history of the stream again with plain maps. */
import type { Entry } from "@damaskvale/core";

/** What the reference knows at one offset. */
export interface ReferenceTable {
    /** Text that is equal for equal tables. */
    readonly text: string;
    readonly isHalted: boolean;
}

/** Decision of the reference on a record. */
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

/** Offsets that the page allows between basis and record; written out here to be independent of the code. */
const WINDOW = 4096;

/** Reference of the stream `configuration`. */
export class TableOracle {
    private readonly rows = new Map<string, { readonly revision: number; readonly row: object; }>();
    private readonly ids = new Map<string, ReferenceDecision>();
    private readonly references: ReferenceTable[] = [{ text: "", isHalted: false }];
    private haltedAt: number | undefined;

    /** Returns the table after all entries below an offset. */
    tableAt(history: readonly Entry[], nextOffset: number): ReferenceTable | undefined {
        this.follow(history);
        return this.references[nextOffset];
    }

    /** Offset above all entries that can be folded. */
    endOffset(history: readonly Entry[]): number {
        this.follow(history);
        return this.haltedAt ?? history.length;
    }

    /** Returns the first decision of a record. */
    firstDecision(history: readonly Entry[], id: string): ReferenceDecision | undefined {
        this.follow(history);
        return this.ids.get(id);
    }

    private follow(history: readonly Entry[]): void {
        for (
            let offset = this.references.length - 1;
            offset < history.length && this.haltedAt === undefined;
            offset += 1
        ) {
            const changed = this.apply(offset, history[offset]?.value as EditRecord | string);
            if (this.haltedAt === undefined) {
                const text = changed ? tableText(this.rows) : this.references[offset]?.text ?? "";
                this.references.push({ text, isHalted: false });
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
        const earlier = this.ids.get(record.id);
        if (earlier !== undefined && offset - earlier.offset <= WINDOW + 1) {
            return false;
        }
        const { key, baseRevision, row } = record.body;
        const revision = this.rows.get(key)?.revision ?? 0;
        const accepted = offset - record.basis <= WINDOW && revision === baseRevision
            && (row !== undefined || this.rows.has(key));
        this.ids.set(record.id, earlier ?? { accepted, offset });
        if (accepted && row !== undefined) {
            this.rows.set(key, { revision: offset + 1, row });
        }
        else if (accepted) {
            this.rows.delete(key);
        }
        return accepted;
    }
}

/** Writes rows as text: key, revision and weight. */
export function tableText(
    rows: Iterable<readonly [string, { readonly revision: number; readonly row: object; }]>,
): string {
    return [...rows].map(([key, { revision, row }]) => `${key}@${revision}=${(row as { weight?: number; }).weight}`)
        .sort().join(" ");
}
