/** Simulated registry of the platform's store: a log of entries, and a reader of each daemon. */
import type { Target } from "@damaskvale/core";
import type { RelayState } from "@damaskvale/daemon";
import type { EngineEntry } from "./types.js";

/** Name of the only service. */
export const SERVICE = "pool";
/** Name of the only domain. */
export const DOMAIN = "d";

interface EntryRecord {
    readonly at: number;
    readonly key: string;
    readonly entry?: EngineEntry;
}

/** An entry that is silent for this long is removed: three heartbeats. */
const EXPIRY_MILLISECONDS = 3_600;

/** Log of the entries. */
export class EntryLog {
    private readonly records: EntryRecord[] = [];
    private readonly writtenAt = new Map<string, number>();

    constructor(private readonly now: () => number) {}

    write(key: string, entry: EngineEntry | undefined): void {
        this.records.push({ at: this.now(), key, entry });
        if (entry === undefined) {
            this.writtenAt.delete(key);
        }
        else {
            this.writtenAt.set(key, this.now());
        }
    }

    /** Removes the entries that were not written for some heartbeats. */
    expire(): void {
        [...this.writtenAt].filter(([, at]) => this.now() - at > EXPIRY_MILLISECONDS)
            .forEach(([key]) => this.write(key, undefined));
    }

    /** Returns the offset after the last record that is at least this old. */
    endAt(ageMilliseconds: number): number {
        return this.records.findLastIndex(({ at }) => at <= this.now() - ageMilliseconds) + 1;
    }

    slice(from: number, to: number): readonly EntryRecord[] {
        return this.records.slice(from, to);
    }
}

/** Reader of one daemon, which applies what it reads to the daemon's state as the follower of the registry does. */
export class EntryReader {
    /** Age of the newest record that a read returns. */
    lagMilliseconds = 0;
    private offset = 0;
    private readonly decoded = new Map<string, { readonly text: string; readonly target: Target; }>();

    constructor(private readonly log: EntryLog, private readonly state: RelayState) {}

    /** Reads the newest value of each key, as they were some time ago. */
    readNewest(ageMilliseconds: number): void {
        this.offset = this.log.endAt(ageMilliseconds);
        const newest = new Map(this.log.slice(0, this.offset).map(({ key, entry }) => [key, entry]));
        this.state.replaceTargets([...newest.values()].flatMap(entry => entry === undefined ? [] : this.decode(entry)));
    }

    /** Reads the changes since the last read. */
    readChanges(): void {
        const end = this.log.endAt(this.lagMilliseconds);
        if (end <= this.offset) {
            return;
        }
        const changes = this.log.slice(this.offset, end);
        this.offset = end;
        this.state.applyTargets(changes.map(({ key, entry }) => {
            if (entry === undefined) {
                this.decoded.delete(key);
                return { key };
            }
            return { key, value: this.decode(entry) };
        }));
    }

    /** An entry that differs from the last one of its host only in its heartbeat is the same target, as in the adapter. */
    private decode({ heartbeat, ...statement }: EngineEntry): Target {
        const text = JSON.stringify(statement);
        const last = this.decoded.get(statement.id);
        if (last?.text === text) {
            return last.target;
        }
        const target: Target = {
            ...statement,
            service: SERVICE,
            dataCentre: "x",
            registered: true,
            slots: 18,
            domain: DOMAIN,
            entryNumber: heartbeat,
        };
        this.decoded.set(statement.id, { text, target });
        return target;
    }
}
