/** Ports to the platform's registry, configuration and consumer groups, and the errors of its store. */
import type { RelayConfiguration, Target } from "@damaskvale/core";

/** Why a call to the store failed. An unanswered call may have been executed, or may still be executed later. */
export type StoreErrorKind = "unanswered" | "refused" | "malformed";

/** Failure of a call to the store. */
export class StoreError extends Error {
    constructor(readonly kind: StoreErrorKind, message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = "StoreError";
    }
}

/** Change of one key of a topic: its latest value, or none if the key was removed or its value does not decode. */
export interface TopicChange<Value> {
    readonly key: string;
    readonly value?: Value;
    /** Number of the write if its writer numbers them: a value that is written again without change keeps its first number. */
    readonly writeNumber?: number;
    /** Offset of the change; absent in a page of all latest values. */
    readonly offset?: number;
    /** The value as the store holds it, if the topic keeps it for other daemons. */
    readonly encoded?: Uint8Array;
}

/** Changes in order, and the next offset to read. */
export interface TopicPage<Value> {
    readonly changes: readonly TopicChange<Value>[];
    readonly nextOffset: number;
    /** Era of the store in which the offset is valid. */
    readonly era: number;
}

/** Changes that a read from an offset returned. */
export interface TopicRange<Value> extends TopicPage<Value> {
    /** Offset from which it was read. */
    readonly fromOffset: number;
}

/** A compacted topic, which retains the latest value of each key. All calls reject with a `StoreError`. */
export interface KeyedTopic<Value> {
    readonly name: string;
    /** Reads all keys with their latest values. */
    readLatest(): Promise<TopicPage<Value>>;
    /** Long poll for the changes from an offset on; resolves to `undefined` if they are no longer retained. */
    readFrom(offset: number, waitMilliseconds: number, signal?: AbortSignal): Promise<TopicPage<Value> | undefined>;
}

/** Registered targets by id. */
export type TargetTopic = KeyedTopic<Target>;

/** What operators publish under one key. */
export type OperatorRecord =
    | { readonly kind: "configuration"; readonly configuration: RelayConfiguration; }
    /** A key of its own for each evacuated data centre; the evacuation ends when it is removed. */
    | { readonly kind: "evacuation"; readonly dataCentre: string; readonly evacuated: boolean; };

/** What operators publish. Its changes keep their encoded values. */
export interface ConfigurationTopic extends KeyedTopic<OperatorRecord> {
    /** Decodes a change that another daemon read; a value that cannot be decoded is logged and counts as none. */
    decode(key: string, encoded: Uint8Array | undefined): TopicChange<OperatorRecord>[];
}

/** Partitions that the platform assigned to this daemon, with the fencing token of the assignment. */
export interface PartitionAssignment {
    readonly fencingToken: number;
    readonly partitions: readonly number[];
}

/** Membership of this daemon in the consumer group that divides the partitions. Calls reject with a `StoreError`. */
export interface PartitionGroup {
    /** Number of partitions that are divided. */
    readonly partitionCount: number;
    /** Joins the group or renews the lease; `fencingToken` is that of the last assignment, or 0. */
    renew(leaseMilliseconds: number, fencingToken: number): Promise<PartitionAssignment>;
    leave(): Promise<void>;
}
