/** Ports to the platform's registry, configuration and consumer groups, and the errors of its store. */
import type { RelayConfiguration, Target } from "@damaskvale/core";

/** Why a call to the store failed. An unanswered call may have been carried out, or may be later. */
export type StoreErrorKind = "unanswered" | "refused" | "malformed";

/** Failure of a call to the store. */
export class StoreError extends Error {
    constructor(readonly kind: StoreErrorKind, message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = "StoreError";
    }
}

/** Change of one key of a topic: its newest value, or none if the key was removed or its value names nothing. */
export interface TopicChange<Value> {
    readonly key: string;
    readonly value?: Value;
}

/** Changes in order, and the offset after them. */
export interface TopicPage<Value> {
    readonly changes: readonly TopicChange<Value>[];
    readonly nextOffset: number;
}

/** A topic of which the newest value of each key is kept. All calls reject with a `StoreError`. */
export interface KeyedTopic<Value> {
    readonly name: string;
    /** All keys with their newest values. */
    readLatest(): Promise<TopicPage<Value>>;
    /** Changes from an offset on, as soon as there are any; `undefined` if they are no longer kept. */
    readFrom(offset: number, waitMilliseconds: number, signal?: AbortSignal): Promise<TopicPage<Value> | undefined>;
}

/** Registered targets by id. */
export type TargetTopic = KeyedTopic<Target>;

/** The configuration, under a single key. */
export type ConfigurationTopic = KeyedTopic<RelayConfiguration>;

/** Partitions that the platform gave to this daemon, with the fencing token of that decision. */
export interface PartitionAssignment {
    readonly fencingToken: number;
    readonly partitions: readonly number[];
}

/** Membership of this daemon in the group whose members divide the partitions. Rejects with a `StoreError`. */
export interface PartitionGroup {
    /** Number of partitions that are divided. */
    readonly partitionCount: number;
    /** Joins, or renews the lease; `fencingToken` is that of the last share, or 0. */
    renew(leaseMilliseconds: number, fencingToken: number): Promise<PartitionAssignment>;
    leave(): Promise<void>;
}
