/** Simulated replica of the platform's store: two topics and one consumer group that belong to one era. */
import type { RelayConfiguration, Target } from "@damaskvale/core";
import { type DaemonPresence, StoreError, type TopicChange } from "@damaskvale/daemon";

/** Number of partitions that the consumer group divides. */
export const PARTITIONS = 8;

interface StoredRecord<Value> extends TopicChange<Value> {
    readonly writtenAt: number;
}

/** Records of a topic as one read returns them. */
export interface TopicRead<Value> {
    readonly changes: readonly TopicChange<Value>[];
    readonly nextOffset: number;
}

/** Topic of a replica. */
export class StoredTopic<Value> {
    private readonly waiting = new Set<{ readonly wake: () => void; readonly fail: (error: StoreError) => void; }>();

    constructor(private readonly records: StoredRecord<Value>[] = []) {}

    append(key: string, value: Value | undefined, now: number): void {
        this.records.push({ key, value, writtenAt: now });
        const woken = [...this.waiting];
        this.waiting.clear();
        woken.forEach(({ wake }) => wake());
    }

    readLatest(): TopicRead<Value> {
        const newest = new Map(this.records.map(record => [record.key, record]));
        return { changes: [...newest.values()], nextOffset: this.records.length };
    }

    /** Returns the records from an offset on, or `undefined` if the topic does not reach it. */
    readFrom(offset: number): TopicRead<Value> | undefined {
        return offset > this.records.length
            ? undefined
            : { changes: this.records.slice(offset), nextOffset: this.records.length };
    }

    /** Resolves when there is a record at an offset; rejects when the replica closes its connections. */
    waitFor(offset: number): Promise<void> {
        return this.records.length === offset
            ? new Promise((wake, fail) => void this.waiting.add({ wake, fail }))
            : Promise.resolve();
    }

    closeConnections(): void {
        const closed = [...this.waiting];
        this.waiting.clear();
        closed.forEach(({ fail }) => fail(new StoreError("unanswered", "The connection was closed.")));
    }

    copyAt(time: number): StoredTopic<Value> {
        return new StoredTopic(this.records.filter(({ writtenAt }) => writtenAt <= time));
    }
}

/** Assignment of one member. */
export interface MemberAssignment {
    readonly generation: number;
    readonly partitions: readonly number[];
}

interface Generation {
    readonly from: number;
    readonly generation: number;
}

/** Consumer group of a replica. */
export class StoredGroup {
    private readonly members = new Map<string, number>();

    constructor(private readonly generations: Generation[] = [{ from: 0, generation: 0 }]) {}

    /** Adds a member or renews its membership; members whose lease expired are removed. */
    join(member: string, leaseMilliseconds: number, now: number): MemberAssignment {
        [...this.members].filter(([, lastSeen]) => now - lastSeen > leaseMilliseconds).forEach(([name]) => {
            this.members.delete(name);
            this.advance(now);
        });
        if (!this.members.has(member)) {
            this.advance(now);
        }
        this.members.set(member, now);
        const names = [...this.members.keys()].sort();
        const partitions = Array.from({ length: PARTITIONS }, (...[, partition]) => partition)
            .filter(partition => names[partition % names.length] === member);
        return { generation: this.generations.at(-1)?.generation ?? 0, partitions };
    }

    /** Returns the group as it was at a time. Memberships are not copied. */
    copyAt(time: number): StoredGroup {
        return new StoredGroup(this.generations.filter(({ from }) => from <= time));
    }

    private advance(now: number): void {
        this.generations.push({ from: now, generation: (this.generations.at(-1)?.generation ?? 0) + 1 });
    }
}

/** Replica of the store in one era. */
export class StoreReplica {
    constructor(
        readonly era: number,
        readonly configurations = new StoredTopic<RelayConfiguration>(),
        readonly targets = new StoredTopic<Target>(),
        readonly presences = new StoredTopic<DaemonPresence>(),
        readonly group = new StoredGroup(),
    ) {}

    /** Returns the replica of the next era, with what this one held at a time. */
    restoreAt(time: number): StoreReplica {
        const { configurations, targets, presences, group } = this;
        return new StoreReplica(
            this.era + 1,
            configurations.copyAt(time),
            targets.copyAt(time),
            presences.copyAt(time),
            group.copyAt(time),
        );
    }

    closeConnections(): void {
        this.configurations.closeConnections();
        this.targets.closeConnections();
        this.presences.closeConnections();
    }
}
