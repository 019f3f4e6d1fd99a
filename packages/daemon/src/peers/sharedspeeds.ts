/**
 * Speeds of targets as the daemons share them: each daemon reports what it observed to the collectors of its data centre, and
 * these state which targets are slow.
 */
import {
    createSpeedObservations,
    findSlowTargets,
    mergeSpeeds,
    REPORT_EXPIRY_MILLISECONDS,
    type SlowTarget,
    type SpeedSum,
} from "@damaskvale/core";
import { z } from "zod";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";

/** Schema of observations: target, their faded number, sum of the logarithms of observed over expected time. */
export const speedsSchema = z.array(z.tuple([z.string(), z.number().positive(), z.number()]));
/** Schema of slow targets: target, observed over expected time. */
export const slowTargetsSchema = z.array(z.tuple([z.string(), z.number().min(1)]));

/** Observations as they are sent. */
export type SpeedsMessage = z.infer<typeof speedsSchema>;
/** Slow targets as they are sent. */
export type SlowTargetsMessage = z.infer<typeof slowTargetsSchema>;

/** Speeds of targets as one daemon knows them. */
export interface SharedSpeeds {
    /** Records that something took a target `ratio` times as long as expected. */
    record(target: string, ratio: number): void;
    /** Returns what this daemon observed lately, for the collectors. */
    report(): SpeedsMessage;
    /** Takes over the report of a daemon, as a collector. */
    receiveReport(daemon: string, speeds: SpeedsMessage): void;
    /** Takes over what another data centre observed of slow targets, as a collector. */
    receiveDataCentre(dataCentre: string, speeds: SpeedsMessage): void;
    /** Returns what the own data centre observed of the targets that are slow by it, for other data centres. */
    reportToDataCentres(): SpeedsMessage;
    /** Returns the targets that are slow by all observations, as a collector. */
    state(): SlowTargetsMessage;
    /** Takes over the statement of a collector. */
    receiveStatement(slow: SlowTargetsMessage): void;
    /** Returns the observed time over the expected one for a target, 1 unless it is known to be slow. */
    slownessOf(target: string): number;
    /** Forgets what this daemon knows of a target, under whose id another process runs. */
    forget(target: string): void;
    /** Returns the targets that are known to be slow, slowest first. */
    slowTargets(): readonly SlowTarget[];
}

interface Received<Value> {
    readonly value: Value;
    readonly at: number;
}

/** Digits after the point of what is sent. */
const DIGITS = 2;
const SCALE = 10 ** DIGITS;

/** Creates the speeds of a daemon that knows none. */
export function createSharedSpeeds(clock: Clock, log: EventLog): SharedSpeeds {
    return new SharedSpeedsTask(clock, log);
}

class SharedSpeedsTask implements SharedSpeeds {
    private readonly observations = createSpeedObservations();
    private readonly reports = new Map<string, Received<readonly SpeedSum[]>>();
    private readonly remote = new Map<string, Received<readonly SpeedSum[]>>();
    /** Slow targets by the last statement. */
    private stated: Received<ReadonlyMap<string, number>> = { value: new Map(), at: Number.NEGATIVE_INFINITY };

    /** Targets that the log calls slow. */
    private logged: ReadonlySet<string> = new Set();

    constructor(private readonly clock: Clock, private readonly log: EventLog) {}

    record(target: string, ratio: number): void {
        this.observations.record(target, ratio, this.now());
    }

    report(): SpeedsMessage {
        return encodeSpeeds(this.observations.sums(this.now()));
    }

    receiveReport(daemon: string, speeds: SpeedsMessage): void {
        this.reports.set(daemon, { value: decodeSpeeds(speeds), at: this.now() });
    }

    receiveDataCentre(dataCentre: string, speeds: SpeedsMessage): void {
        this.remote.set(dataCentre, { value: decodeSpeeds(speeds), at: this.now() });
    }

    reportToDataCentres(): SpeedsMessage {
        const sums = mergeSpeeds(this.recent(this.reports));
        const slow = new Set(findSlowTargets(sums).map(({ target }) => target));
        return encodeSpeeds(sums.filter(({ target }) => slow.has(target)));
    }

    state(): SlowTargetsMessage {
        const sources = [...this.recent(this.reports), ...this.recent(this.remote)];
        const slow = findSlowTargets(mergeSpeeds(sources));
        this.logChanges(slow, sources);
        return slow.map(({ target, slowness }) => [target, round(slowness)]);
    }

    receiveStatement(slow: SlowTargetsMessage): void {
        this.stated = { value: new Map(slow), at: this.now() };
    }

    slownessOf(target: string): number {
        return this.current().get(target) ?? 1;
    }

    forget(target: string): void {
        this.observations.forget(target);
        this.stated = { ...this.stated, value: new Map([...this.stated.value].filter(([name]) => name !== target)) };
    }

    slowTargets(): readonly SlowTarget[] {
        return [...this.current()].map(([target, slowness]) => ({ target, slowness }))
            .sort((left, right) => right.slowness - left.slowness);
    }

    /** Logs which targets are slow now and were not before, and the reverse. */
    private logChanges(slow: readonly SlowTarget[], sources: readonly (readonly SpeedSum[])[]): void {
        const names = new Set(slow.map(({ target }) => target));
        slow.filter(({ target }) => !this.logged.has(target)).forEach(({ target, slowness }) => {
            const sums = sources.flatMap(source => source.filter(sum => sum.target === target));
            this.log.emit("targetSlow", {
                target,
                slowness: round(slowness),
                observations: round(sums.reduce((total, { weight }) => total + weight, 0)),
                observers: sums.length,
            });
        });
        [...this.logged].filter(target => !names.has(target))
            .forEach(target => this.log.emit("targetNotSlow", { target }));
        this.logged = names;
    }

    private now(): number {
        return this.clock.monotonic();
    }

    /** Returns the slow targets by the last statement, none if it is too old to say anything. */
    private current(): ReadonlyMap<string, number> {
        return this.now() - this.stated.at < REPORT_EXPIRY_MILLISECONDS ? this.stated.value : new Map();
    }

    private recent(received: Map<string, Received<readonly SpeedSum[]>>): (readonly SpeedSum[])[] {
        const now = this.now();
        [...received].filter(([, { at }]) => now - at >= REPORT_EXPIRY_MILLISECONDS)
            .forEach(([sender]) => received.delete(sender));
        return [...received.values()].map(({ value }) => value);
    }
}

function encodeSpeeds(sums: readonly SpeedSum[]): SpeedsMessage {
    return sums.map(({ target, weight, logSum }) => [target, Math.max(1 / SCALE, round(weight)), round(logSum)]);
}

function decodeSpeeds(speeds: SpeedsMessage): SpeedSum[] {
    return speeds.map(([target, weight, logSum]) => ({ target, weight, logSum }));
}

function round(value: number): number {
    return Math.round(value * SCALE) / SCALE;
}
