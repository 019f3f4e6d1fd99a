/**
 * Refuses requests on which targets crash, as decided by all daemons together. What is blamed is a subject: a shared part of
 * prompts, or the content of one request.
 */
import {
    createPartQuarantine,
    type PartStatement,
    type PartVerdict,
    type QuarantineReport,
    trialRank,
} from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import { createCrashObserver, type ObservedAttempt, type TargetProcess } from "./crashobserver.js";

/** Quarantine of the subjects of requests, as the request path uses it. */
export interface RequestQuarantine {
    /** Decides about an attempt before it is sent. Only a first attempt may try a quarantined subject again. */
    check(subjects: readonly string[], isFirstAttempt: boolean): PartVerdict;
    /** Starts to observe an attempt that is sent to a target. */
    observe(target: TargetProcess, subjects: readonly string[]): ObservedAttempt;
    /** Subjects whose requests are refused. */
    quarantined(): readonly PartStatement[];
    /** Accepts a subject again on behalf of an operator; returns whether it was quarantined. */
    release(part: string): boolean;
    /** Returns what is known, for other daemons. */
    report(): QuarantineReport;
    /** Whether a crash or a decision is so new that reports should be sent often. */
    hasUpdates(): boolean;
    /** Merges what another daemon knows. */
    merge(report: QuarantineReport, daemon: string): void;
    /** Registers a listener for subjects that become quarantined. */
    onQuarantined(listener: (part: string) => void): void;
    /** Registers a listener for changes that other daemons should learn of at once. */
    onUpdate(listener: () => void): void;
}

/** Collaborators of the quarantine. */
export interface RequestQuarantineParts {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Name of this daemon. */
    readonly self: string;
    /** Other daemons that reported recently. */
    readonly reachableDaemons: () => readonly string[];
    /** Number of all daemons, including this one. */
    readonly knownDaemons: () => number;
    /** Whether this daemon reaches no target, so that the loss of a connection says nothing about one of them. */
    readonly isCutOff: () => boolean;
}

/** Ranks follow the daemons that report, whose reports expire after seconds. */
const RANK_MILLISECONDS = 400;
/** Daemons report often what proves parts sound this long after a crash or a decision. */
const UPDATE_MILLISECONDS = 4_000;
/** What this daemon found out itself, as opposed to what another one reported. */
const LEARNED_HERE = "request";

/** Creates the quarantine. No part is quarantined at first. */
export function createRequestQuarantine(parts: RequestQuarantineParts): RequestQuarantine {
    return new RequestQuarantineTask(parts);
}

class RequestQuarantineTask implements RequestQuarantine {
    private readonly decisions = createPartQuarantine();
    private readonly observer;
    /** Parts whose quarantine was announced to the listeners. */
    private readonly announced = new Set<string>();
    private readonly quarantineListeners: ((part: string) => void)[] = [];
    private readonly updateListeners: (() => void)[] = [];
    /** Time of the newest crash or decision. */
    private updatedAt = Number.NEGATIVE_INFINITY;
    /** Rank of this daemon for a part, and when that was computed. */
    private ranked: { readonly part: string; readonly at: number; readonly rank: number; } | undefined;

    constructor(private readonly parts: RequestQuarantineParts) {
        this.observer = createCrashObserver({
            clock: parts.clock,
            onProven: (proven, firstEventAt) =>
                this.apply(this.decisions.recordProven(proven, this.now(), firstEventAt), LEARNED_HERE),
            onCrash: crash => {
                if (parts.isCutOff()) {
                    return;
                }
                parts.log.emit("targetCrashed", { ...crash });
                this.apply(this.decisions.recordCrash(crash, this.now()), LEARNED_HERE);
                this.announceUpdate();
            },
            onAlive: ({ id, startedAt }) => {
                parts.log.emit("targetCrashWithdrawn", { target: id, startedAt });
                this.apply(this.decisions.withdrawCrash(id, startedAt, this.now()), LEARNED_HERE);
                this.announceUpdate();
            },
        });
    }

    check(subjects: readonly string[], isFirstAttempt: boolean): PartVerdict {
        if (subjects.length === 0) {
            return { kind: "allowed" };
        }
        const mayTry = (part: string, daemons: number): boolean => isFirstAttempt && this.rankFor(part) < daemons;
        const verdict = this.decisions.check(subjects, mayTry, this.now());
        if (verdict.kind === "trial") {
            this.announceUpdate();
        }
        return verdict;
    }

    observe(target: TargetProcess, subjects: readonly string[]): ObservedAttempt {
        return this.observer.observe(target, subjects);
    }

    quarantined(): readonly PartStatement[] {
        return this.decisions.quarantined();
    }

    release(part: string): boolean {
        const statement = this.decisions.release(part, this.now());
        if (statement === undefined) {
            return false;
        }
        this.apply([statement], "operator");
        return true;
    }

    report(): QuarantineReport {
        return this.decisions.report(this.now());
    }

    hasUpdates(): boolean {
        return this.now() - this.updatedAt < UPDATE_MILLISECONDS;
    }

    merge(report: QuarantineReport, daemon: string): void {
        this.updatedAt = Math.max(this.updatedAt, ...report.crashes.map(({ at }) => at));
        this.applyLearned(this.decisions.merge(report, this.now()), daemon);
    }

    onQuarantined(listener: (part: string) => void): void {
        this.quarantineListeners.push(listener);
    }

    onUpdate(listener: () => void): void {
        this.updateListeners.push(listener);
    }

    private now(): number {
        return this.parts.clock.monotonic();
    }

    /** Applies decisions of this daemon, and reports them to the others at once. */
    private apply(changes: readonly PartStatement[], learnedFrom: string): void {
        if (changes.length > 0) {
            this.applyLearned(changes, learnedFrom);
            this.announceUpdate();
        }
    }

    private applyLearned(changes: readonly PartStatement[], learnedFrom: string): void {
        changes.forEach(change => this.applyChange(change, learnedFrom));
    }

    private applyChange(change: PartStatement, learnedFrom: string): void {
        const { statedAt, trialAt, state, ...fields } = change;
        const now = this.now();
        this.parts.log.emit(state === "quarantined" ? "promptPartQuarantined" : "promptPartReleased", {
            ...fields,
            statedMillisecondsAgo: Math.round(now - statedAt),
            ...(trialAt === undefined ? {} : { triedMillisecondsAgo: Math.round(now - trialAt) }),
            learnedFrom,
        });
        if (state === "released") {
            this.announced.delete(change.part);
        }
        else if (!this.announced.has(change.part)) {
            this.announced.add(change.part);
            this.quarantineListeners.forEach(listener => listener(change.part));
        }
    }

    private announceUpdate(): void {
        this.updatedAt = this.now();
        this.updateListeners.forEach(listener => listener());
    }

    /** Returns the rank of this daemon among those that may try a part again. */
    private rankFor(part: string): number {
        const now = this.now();
        if (this.ranked?.part !== part || now - this.ranked.at > RANK_MILLISECONDS) {
            const { self, reachableDaemons, knownDaemons } = this.parts;
            const fleet = { self, reachable: reachableDaemons(), known: knownDaemons() };
            this.ranked = { part, at: now, rank: trialRank(part, fleet) };
        }
        return this.ranked.rank;
    }
}
