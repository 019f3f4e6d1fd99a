/**
 * Decisions on the last `BASIS_WINDOW` offsets. Each change returns a new window that shares structure with the old one
 * (persistent maps), because copying 4,096 decisions for each entry would dominate the cost of the fold.
 */
import { Map as PersistentMap } from "immutable";
import type { Decision } from "./types.js";

/** Maximum offsets between a record and its basis, and the number of offsets that ids and decisions are retained. */
export const BASIS_WINDOW = 4_096;

/** Persistent window of decisions by record id. */
export class DecisionWindow implements ReadonlyMap<string, Decision> {
    static readonly empty = new DecisionWindow(PersistentMap(), PersistentMap());

    private constructor(
        private readonly byId: PersistentMap<string, Decision>,
        private readonly byOffset: PersistentMap<number, string>,
    ) {}

    /** Creates a window from any map of decisions. */
    static from(decisions: ReadonlyMap<string, Decision>): DecisionWindow {
        if (decisions instanceof DecisionWindow) {
            return decisions;
        }
        const entries = [...decisions];
        return new DecisionWindow(
            PersistentMap(entries),
            PersistentMap(entries.map(([id, { offset }]) => [offset, id] as const)),
        );
    }

    get size(): number {
        return this.byId.size;
    }

    get(id: string): Decision | undefined {
        return this.byId.get(id);
    }

    has(id: string): boolean {
        return this.byId.has(id);
    }

    /** Adds the decision on a record. An offset has at most one decision. */
    add(id: string, decision: Decision): DecisionWindow {
        return new DecisionWindow(this.byId.set(id, decision), this.byOffset.set(decision.offset, id));
    }

    /** Removes the decision that leaves the window when the entry at `offset` is applied. */
    advance(offset: number): DecisionWindow {
        const expiredOffset = offset - BASIS_WINDOW - 1;
        const id = this.byOffset.get(expiredOffset);
        return id === undefined ? this : new DecisionWindow(this.byId.delete(id), this.byOffset.delete(expiredOffset));
    }

    forEach(callback: (value: Decision, key: string, map: ReadonlyMap<string, Decision>) => void): void {
        this.byId.forEach((value, key) => {
            callback(value, key, this);
        });
    }

    entries(): MapIterator<[string, Decision]> {
        return this.toMap().entries();
    }

    keys(): MapIterator<string> {
        return this.toMap().keys();
    }

    values(): MapIterator<Decision> {
        return this.toMap().values();
    }

    [Symbol.iterator](): MapIterator<[string, Decision]> {
        return this.entries();
    }

    /** Copies the window into a map in offset order. */
    private toMap(): Map<string, Decision> {
        return new Map([...this.byId].sort(([, left], [, right]) => left.offset - right.offset));
    }
}
