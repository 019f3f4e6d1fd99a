/**
 * Failures of targets as the daemons share them: each daemon reports what it observed to the collectors of its data centre, and
 * these state the sums of all data centres. A daemon that hears no collector uses its own observations.
 */
import {
    createFailureObservations,
    fadeFailureSum,
    failureShareOf,
    type FailureSum,
    mergeFailureSums,
    processKey,
    REPORT_EXPIRY_MILLISECONDS,
    type StatedProcess,
    type Target,
} from "@damaskvale/core";
import { z } from "zod";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";

const countSchema = z.number().nonnegative().finite();
/** Schema of sums: target, start of its process or 0 if it is unknown, faded numbers of requests and of failures. */
export const failuresSchema = z.array(z.tuple([z.string(), countSchema, countSchema, countSchema]));

/** Sums as they are sent; absent where the daemon does not detect outliers. */
export type FailuresMessage = z.infer<typeof failuresSchema> | undefined;

/** Failures of targets as one daemon knows them. */
export interface SharedFailures {
    /** Records the outcome of a request that ran at a target. */
    record(target: Target, failed: boolean): void;
    /** Number of failures that this daemon has recorded. */
    recordedFailures(): number;
    /** Returns what this daemon observed lately, for the collectors. */
    report(): FailuresMessage;
    /** Takes over the report of a daemon, as a collector. */
    receiveReport(daemon: string, failures: FailuresMessage): void;
    /** Takes over the sums of another data centre, as a collector. */
    receiveDataCentre(dataCentre: string, failures: FailuresMessage): void;
    /** Returns the sums of the own data centre, for the others. */
    reportToDataCentres(): FailuresMessage;
    /** Returns the sums of all data centres for targets with failures, as a collector. */
    state(): FailuresMessage;
    /** Takes over the statement of a collector. */
    receiveStatement(failures: FailuresMessage): void;
    /** Returns the share of requests that the target fails; `undefined` if outliers are not detected. */
    shareOf(target: Target): number | undefined;
    /** Number of targets that are known to fail a part of their requests. */
    failingTargets(): number;
}

interface Received {
    readonly sums: readonly FailureSum[];
    readonly at: number;
}

/** From this share on, the log calls a target failing; below the second one no longer. */
const FAILING_SHARE = 0.16;
const SOUND_SHARE = 0.08;
/** Targets with fewer failures are not stated. */
const LEAST_FAILURES = 0.05;
/** Digits after the point of what is sent. */
const SCALE = 1_000;

/** Creates the failures of a daemon that knows none; it neither records nor sends any unless it detects outliers. */
export function createSharedFailures(detectsOutliers: boolean, clock: Clock, log: EventLog): SharedFailures {
    return detectsOutliers ? new SharedFailuresTask(clock, log) : inactiveFailures;
}

const inactiveFailures: SharedFailures = {
    record: () => undefined,
    recordedFailures: () => 0,
    report: () => undefined,
    receiveReport: () => undefined,
    receiveDataCentre: () => undefined,
    reportToDataCentres: () => undefined,
    state: () => undefined,
    receiveStatement: () => undefined,
    shareOf: () => undefined,
    failingTargets: () => 0,
};

class SharedFailuresTask implements SharedFailures {
    private readonly observations = createFailureObservations();
    private readonly reports = new Map<string, Received>();
    private readonly remote = new Map<string, Received>();
    /** Sums by the last statement. */
    private stated: Received = { sums: [], at: Number.NEGATIVE_INFINITY };
    private failures = 0;

    /** Processes that the log calls failing. */
    private logged: ReadonlyMap<string, FailureSum> = new Map();

    constructor(private readonly clock: Clock, private readonly log: EventLog) {}

    record(target: Target, failed: boolean): void {
        this.failures += failed ? 1 : 0;
        this.observations.record(processOf(target), failed, this.now());
    }

    recordedFailures(): number {
        return this.failures;
    }

    report(): FailuresMessage {
        return encodeSums(this.observations.sums(this.now()));
    }

    receiveReport(daemon: string, failures: FailuresMessage): void {
        this.reports.set(daemon, { sums: decodeSums(failures), at: this.now() });
    }

    receiveDataCentre(dataCentre: string, failures: FailuresMessage): void {
        this.remote.set(dataCentre, { sums: decodeSums(failures), at: this.now() });
    }

    reportToDataCentres(): FailuresMessage {
        return encodeSums(mergeFailureSums(this.recent(this.reports)));
    }

    state(): FailuresMessage {
        const sums = mergeFailureSums([...this.recent(this.reports), ...this.recent(this.remote)]);
        this.logChanges(sums);
        return encodeSums(sums.filter(({ failures }) => failures >= LEAST_FAILURES));
    }

    receiveStatement(failures: FailuresMessage): void {
        // A collector of an earlier version, or one that detects no outliers, states nothing.
        if (failures !== undefined) {
            this.stated = { sums: decodeSums(failures), at: this.now() };
        }
    }

    shareOf(target: Target): number {
        const key = processKey(processOf(target));
        const sum = this.current().find(known => processKey(known) === key);
        return sum === undefined ? 0 : failureShareOf(sum);
    }

    failingTargets(): number {
        return this.current().filter(sum => failureShareOf(sum) >= FAILING_SHARE).length;
    }

    /** Returns the sums by the last statement, or the own observations if it is too old to say anything. */
    private current(): readonly FailureSum[] {
        const now = this.now();
        const age = now - this.stated.at;
        return age < REPORT_EXPIRY_MILLISECONDS
            ? this.stated.sums.map(sum => fadeFailureSum(sum, age))
            : this.observations.sums(now);
    }

    /** Logs which processes fail a part of their requests now and did not before, and the reverse. */
    private logChanges(sums: readonly FailureSum[]): void {
        const failing = new Map(
            sums.filter(sum => {
                const bound = this.logged.has(processKey(sum)) ? SOUND_SHARE : FAILING_SHARE;
                return failureShareOf(sum) >= bound;
            }).map(sum => [processKey(sum), sum]),
        );
        [...failing].filter(([key]) => !this.logged.has(key)).forEach(([, sum]) =>
            this.log.emit("targetFailing", {
                target: sum.target,
                startedAt: sum.startedAt,
                share: round(failureShareOf(sum)),
                requests: round(sum.requests),
                failures: round(sum.failures),
            })
        );
        [...this.logged].filter(([key]) => !failing.has(key)).forEach(([, { target, startedAt }]) =>
            this.log.emit("targetNotFailing", { target, startedAt })
        );
        this.logged = failing;
    }

    private now(): number {
        return this.clock.monotonic();
    }

    private recent(received: Map<string, Received>): (readonly FailureSum[])[] {
        const now = this.now();
        [...received].filter(([, { at }]) => now - at >= REPORT_EXPIRY_MILLISECONDS)
            .forEach(([sender]) => received.delete(sender));
        return [...received.values()].map(({ sums, at }) => sums.map(sum => fadeFailureSum(sum, now - at)));
    }
}

function processOf({ id, startedAt }: Target): StatedProcess {
    return { target: id, startedAt };
}

function encodeSums(sums: readonly FailureSum[]): FailuresMessage {
    return sums.map(({ target, startedAt, requests, failures }) => [
        target,
        startedAt ?? 0,
        round(requests),
        round(failures),
    ]);
}

function decodeSums(message: FailuresMessage): FailureSum[] {
    return (message ?? []).map(([target, startedAt, requests, failures]) => ({
        target,
        startedAt: startedAt === 0 ? undefined : startedAt,
        requests,
        failures: Math.min(failures, requests),
    }));
}

function round(value: number): number {
    return Math.round(value * SCALE) / SCALE;
}
