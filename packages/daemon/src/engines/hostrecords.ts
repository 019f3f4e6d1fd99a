/** Planner state for each host beyond its registry entry: what its engine stated, orders in flight, and reachability. */
import { type EngineHost, type EngineOrder, orderStatements, type StatementOrder, type Target } from "@damaskvale/core";
import type { EngineReport, OrderResult } from "../ports/enginecontrol.js";
import {
    type KnownEngine,
    knownFromAnswer,
    knownFromEntry,
    knownFromReport,
    type MembershipProvenance,
    provenanceOf,
    takesEffect,
} from "./knownengine.js";

/** Records of the hosts of the domains for which this daemon plans. Times are monotonic milliseconds. */
export interface HostRecords {
    /** Returns the host as the planner sees it: its entry with what its engine itself stated. */
    describe(target: Target, now: number): EngineHost;
    /** Returns from what an order to the host is made; `undefined` until its engine has stated its state. */
    provenanceOf(target: Target, now: number): MembershipProvenance | undefined;
    /** Returns whether a report should be requested from the engine. */
    needsReport(target: Target, now: number): boolean;
    /** Records that an order was sent which expects this number of accepted orders. */
    recordOrderSent(target: Target, expectedSequence: number): void;
    recordOrderResult(target: Target, order: EngineOrder, result: OrderResult, now: number): void;
    recordReportRequested(target: Target, now: number): void;
    /** Records a report or its absence; returns whether the report is newer than the known state. */
    recordReport(target: Target, report: EngineReport | undefined, now: number): boolean;
    /**
     * Begins a term of planning for hosts. If it is not continued, another planner may have changed since what their engines stated, so
     * that they must state it anew. If it is, orders that were accepted before count on, but no earlier statement shows that a group
     * lacks a member.
     */
    beginTerm(targets: readonly Target[], isContinued: boolean, now: number): void;
    /** Requires a statement of the engine that shows its state at `since` or later. */
    requireStatement(id: string, since: number): void;
    /** Records that the host's group makes no progress; if the host is also unreachable, it counts as lost. */
    recordSuspicion(target: Target, now: number): void;
    /** Drops the records of hosts that are not in the set. */
    retain(ids: ReadonlySet<string>): void;
}

/** An entry that shows an earlier membership than the engine of the same process has stated, or none. */
export interface StaleMembership extends MembershipProvenance {
    /** Membership in the entry. */
    readonly entry: Target["membership"];
    readonly entryNumber: number;
    /** Number of the entry before it. The same number means that a notice of another daemon changed the membership. */
    readonly previousEntryNumber: number;
    /** Number of orders that goes with the known membership. */
    readonly orderSequence: number;
}

/** Called once for each entry that contradicts what the engine has stated. */
export type StaleMembershipListener = (target: Target, stale: StaleMembership) => void;

interface HostRecord {
    /** Newest registry entry, as the state shows it. */
    entry: Target;
    /** When the entry changed last. */
    entryAt: number;
    knownSince: number;
    /** Absent until the engine has stated its state to this daemon since it plans the domain without a break. */
    engine?: KnownEngine;
    /** Latest time at which the engine certainly had the known state; absent if that is not known. */
    statedAt?: number;
    /** Time from which a state is required; absent if none is. */
    requiredSince?: number;
    /** The target as it was last described, with what it was made from. */
    shown?: { readonly entry: Target; readonly engine: KnownEngine; readonly target: Target; };
    /** Orders that this engine process has certainly accepted; a report with fewer comes from another process. */
    acceptedOrders: number;
    /** Whether another process responded at the address, so that the registered process is gone. */
    replaced: boolean;
    /** The order in flight: the number that it expects, and the state from which it was made. */
    sent?: { readonly expectedSequence: number; readonly engine?: KnownEngine; };
    /** Time after which a report is requested if the entry does not agree with the engine; 0 if that is not awaited. */
    effectDueAt: number;
    /** Whether what is awaited is a change of the engine's state, as after an order to open. */
    awaitsChange: boolean;
    orderResultAt: number;
    missedReports: number;
    reportRequestedAt: number;
    suspectedUntil: number;
    /** When the last report arrived. */
    reportedAt: number;
    /** When the suspicion began that lasts until `suspectedUntil`. */
    suspectedAt: number;
    /** Time since which the host has responded to all report requests although it is not registered. */
    unregisteredSince?: number;
}

/** Time for the effect of an accepted order to appear in the registry before a report is requested. */
const EFFECT_TIMEOUT_MILLISECONDS = 600;
/** Longer, because the effect of an order to open appears only once the group serves. */
const OPEN_EFFECT_TIMEOUT_MILLISECONDS = 1_000;
/** Maximum age of a report on arrival. A report requested sooner after an order may not show the order's effect. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 350;
/** Number of consecutive missed reports at which a host counts as unreachable. */
const UNREACHABLE_MISSED_REPORTS = 2;
/** Longer than the timeout of a report request, so that only one request is in flight. */
const REPORT_INTERVAL_MILLISECONDS = 350;
/** The same for a suspected host that has answered since: it is asked only in case it is lost later. */
const ANSWERED_REPORT_INTERVAL_MILLISECONDS = 1_200;
/** Interval of the report requests that check whether a host with a lapsed entry still runs. */
const LAPSED_REPORT_INTERVAL_MILLISECONDS = 600;
/** Entries that lapsed during a network partition or store outage return within about two seconds of its end. */
const LAPSE_CONFIRMATION_MILLISECONDS = 2_200;
/** How long a suspicion lasts. */
const SUSPICION_MILLISECONDS = 4_000;

/**
 * Returns the report, or `undefined` if it comes from another process than the registered one: a restart of the host, or
 * another engine at its address.
 */
export function reportFromSameProcess(target: Target, report: EngineReport | undefined): EngineReport | undefined {
    const otherStart = target.startedAt !== undefined && report?.startedAt !== undefined
        && report.startedAt !== target.startedAt;
    return otherStart ? undefined : report;
}

/** Creates empty records. */
export function createHostRecords(onStaleMembership: StaleMembershipListener = () => undefined): HostRecords {
    return new HostRecordMap(onStaleMembership);
}

class HostRecordMap implements HostRecords {
    private readonly records = new Map<string, HostRecord>();

    constructor(private readonly onStaleMembership: StaleMembershipListener) {}

    describe(target: Target, now: number): EngineHost {
        const record = this.observe(target, now);
        const { engine } = record;
        const unreachable = record.missedReports >= UNREACHABLE_MISSED_REPORTS;
        return {
            target: engine === undefined ? target : shownTargetOf(record, engine),
            orderSequence: engine?.isDoubted === false ? engine.orderSequence : undefined,
            statedAt: engine?.isDoubted === false ? record.statedAt : undefined,
            knownSince: record.knownSince,
            orderPending: record.sent !== undefined || record.effectDueAt > 0 || engine?.isDoubted !== false,
            unreachable,
            lapsed: record.unregisteredSince !== undefined
                && now - record.unregisteredSince > LAPSE_CONFIRMATION_MILLISECONDS,
            lost: record.replaced || (unreachable && (now < record.suspectedUntil || !target.registered)),
        };
    }

    provenanceOf(target: Target, now: number): MembershipProvenance | undefined {
        const engine = this.recordOf(target, now)?.engine;
        return engine === undefined ? undefined : provenanceOf(engine, now);
    }

    needsReport(target: Target, now: number): boolean {
        const record = this.observe(target, now);
        if (record.sent !== undefined || record.replaced) {
            return false;
        }
        if (!target.registered) {
            return now - record.reportRequestedAt > LAPSED_REPORT_INTERVAL_MILLISECONDS;
        }
        const sinceRequest = now - record.reportRequestedAt;
        const due = sinceRequest > REPORT_INTERVAL_MILLISECONDS
            && now - record.orderResultAt > MAXIMUM_REPORT_AGE_MILLISECONDS;
        const effectMissing = record.effectDueAt > 0 && now >= record.effectDueAt;
        const hasAnswered = record.reportedAt > record.suspectedAt;
        const isSuspected = now < record.suspectedUntil
            && (!hasAnswered || sinceRequest > ANSWERED_REPORT_INTERVAL_MILLISECONDS);
        const isUncertain = record.engine?.isDoubted !== false;
        return due
            && (effectMissing || isSuspected || record.missedReports > 0 || isUncertain || isStatementDue(record, now));
    }

    recordOrderSent(target: Target, expectedSequence: number): void {
        const record = this.records.get(target.id);
        if (record !== undefined && record.entry.startedAt === target.startedAt) {
            record.sent = { expectedSequence, engine: record.engine };
        }
    }

    recordOrderResult(target: Target, order: EngineOrder, result: OrderResult, now: number): void {
        const record = this.recordOf(target, now);
        const { sent, engine } = record ?? {};
        if (record === undefined || sent === undefined) {
            return;
        }
        record.sent = undefined;
        record.orderResultAt = now;
        record.replaced ||= result === "misdirected";
        record.acceptedOrders = Math.max(
            record.acceptedOrders,
            acceptedOrdersAfter(sent.expectedSequence, order, result),
        );
        record.missedReports = result === "unanswered" ? record.missedReports : 0;
        if (engine === undefined) {
            return;
        }
        const { expectedSequence } = sent;
        const isShown = engine.membership !== sent.engine?.membership;
        record.engine = knownFromAnswer(engine, { order, result, expectedSequence, answeredAt: now });
        // An engine accepts an order only in the state from which it was made.
        record.statedAt = takesEffect({ order, result }) ? now : undefined;
        const awaited = takesEffect({ order, result }) && !isShown ? AWAITED_EFFECTS[order.kind] : undefined;
        record.effectDueAt = awaited === undefined ? 0 : now + awaited.milliseconds;
        record.awaitsChange = awaited?.isChange === true;
    }

    recordReportRequested(target: Target, now: number): void {
        const record = this.recordOf(target, now);
        if (record !== undefined) {
            record.reportRequestedAt = now;
        }
    }

    recordReport(target: Target, report: EngineReport | undefined, now: number): boolean {
        const record = this.recordOf(target, now);
        const isTooSoon = record === undefined || record.sent !== undefined
            || now - record.orderResultAt < MAXIMUM_REPORT_AGE_MILLISECONDS;
        if (isTooSoon) {
            return false;
        }
        if (report === undefined || report.orderSequence < record.acceptedOrders) {
            record.missedReports += 1;
            record.unregisteredSince = undefined;
            return false;
        }
        record.unregisteredSince = record.entry.registered ? undefined : record.unregisteredSince ?? now;
        record.missedReports = 0;
        record.reportedAt = now;
        record.acceptedOrders = report.orderSequence;
        const known = record.engine ?? record.entry;
        const isUnchanged = orderStatements(report, known) === "same";
        const isNewest = record.entryAt + MAXIMUM_REPORT_AGE_MILLISECONDS <= record.reportRequestedAt;
        record.engine = knownFromReport({ report, known, isNewest, arrivedAt: now });
        record.statedAt = Math.max(
            record.statedAt ?? Number.NEGATIVE_INFINITY,
            record.reportRequestedAt - MAXIMUM_REPORT_AGE_MILLISECONDS,
        );
        if (now < record.effectDueAt && record.awaitsChange && isUnchanged) {
            return false;
        }
        // An entry that does not change is not read again, so that a later one must not be passed over here.
        const isEntryKnown = isNewest || AGREED_ORDERS.has(orderStatements(record.entry, record.engine));
        record.effectDueAt = isEntryKnown ? 0 : now + EFFECT_TIMEOUT_MILLISECONDS;
        record.awaitsChange = false;
        return record.engine.membershipFrom === "report";
    }

    beginTerm(targets: readonly Target[], isContinued: boolean, now: number): void {
        const records = targets.flatMap(({ id, startedAt }) => {
            const record = this.records.get(id);
            return record === undefined || record.entry.startedAt !== startedAt ? [] : [record];
        });
        records.forEach(record => {
            record.statedAt = undefined;
        });
        if (!isContinued) {
            records.forEach(record => forgetEngine(record, now));
        }
    }

    requireStatement(id: string, since: number): void {
        const record = this.records.get(id);
        if (record !== undefined) {
            record.requiredSince = since;
        }
    }

    recordSuspicion(target: Target, now: number): void {
        const record = this.recordOf(target, now);
        if (record === undefined) {
            return;
        }
        if (now >= record.suspectedUntil) {
            record.suspectedAt = now;
        }
        record.suspectedUntil = now + SUSPICION_MILLISECONDS;
    }

    retain(ids: ReadonlySet<string>): void {
        [...this.records.keys()].filter(id => !ids.has(id)).forEach(id => this.records.delete(id));
    }

    /** Returns the record of a host after its present entry has been taken into account. */
    private observe(target: Target, now: number): HostRecord {
        const record = this.records.get(target.id);
        if (record === undefined || record.entry.startedAt !== target.startedAt) {
            return this.create(target, now, record);
        }
        if (record.entry !== target) {
            record.unregisteredSince = target.registered ? undefined : record.unregisteredSince;
            this.mergeEntry(record, target, now);
        }
        return record;
    }

    /** Combines a changed entry with what the engine stated, and awaits their agreement if either may be the later one. */
    private mergeEntry(record: HostRecord, entry: Target, now: number): void {
        const { engine, entry: previous } = record;
        record.entry = entry;
        record.entryAt = now;
        if (engine === undefined) {
            return;
        }
        const order = orderStatements(entry, engine);
        record.engine = knownFromEntry(engine, entry, now);
        record.statedAt = order === "unordered" ? undefined : record.statedAt;
        record.effectDueAt = EFFECT_TIMES[order](record, now);
        if (order === "earlier" || order === "unordered") {
            this.onStaleMembership(entry, {
                ...provenanceOf(engine, now),
                entry: entry.membership,
                entryNumber: entry.entryNumber,
                previousEntryNumber: previous.entryNumber,
                orderSequence: engine.orderSequence,
            });
        }
    }

    /** Returns the record of a process, or `undefined` if another process of the host is known by now. */
    private recordOf(target: Target, now: number): HostRecord | undefined {
        const record = this.records.get(target.id) ?? this.create(target, now);
        return record.entry.startedAt === target.startedAt ? record : undefined;
    }

    /** Creates the record of a process. The address of the one before it may still be unreachable. */
    private create(target: Target, now: number, before?: HostRecord): HostRecord {
        const record: HostRecord = {
            entry: target,
            entryAt: now,
            knownSince: now,
            acceptedOrders: 0,
            replaced: false,
            effectDueAt: 0,
            awaitsChange: false,
            orderResultAt: before?.orderResultAt ?? Number.NEGATIVE_INFINITY,
            missedReports: before?.missedReports ?? 0,
            reportRequestedAt: before?.reportRequestedAt ?? Number.NEGATIVE_INFINITY,
            suspectedUntil: before?.suspectedUntil ?? 0,
            reportedAt: before?.reportedAt ?? Number.NEGATIVE_INFINITY,
            suspectedAt: before?.suspectedAt ?? Number.NEGATIVE_INFINITY,
        };
        this.records.set(target.id, record);
        return record;
    }
}

/** Returns until when agreement is awaited after an entry, by how the entry relates to what the engine stated. */
const EFFECT_TIMES: Readonly<Record<StatementOrder, (record: HostRecord, now: number) => number>> = {
    earlier: ({ effectDueAt }) => effectDueAt,
    same: ({ awaitsChange, effectDueAt }) => awaitsChange ? effectDueAt : 0,
    later: () => 0,
    unordered: ({ effectDueAt }, now) => effectDueAt > 0 ? effectDueAt : now + EFFECT_TIMEOUT_MILLISECONDS,
};

/** Orders of an entry against what the engine stated in which the entry shows nothing that may be later. */
const AGREED_ORDERS: ReadonlySet<StatementOrder> = new Set(["same", "earlier"]);

/** How long the effect of an accepted order is awaited, and whether it is a change of the state that is known then. */
const AWAITED_EFFECTS: Readonly<
    Partial<Record<EngineOrder["kind"], { readonly milliseconds: number; readonly isChange: boolean; }>>
> = {
    join: { milliseconds: EFFECT_TIMEOUT_MILLISECONDS, isChange: false },
    open: { milliseconds: OPEN_EFFECT_TIMEOUT_MILLISECONDS, isChange: true },
    close: { milliseconds: EFFECT_TIMEOUT_MILLISECONDS, isChange: true },
};

/** Orders that change the group of an engine, so that none of them is accepted without being counted. */
const CERTAINLY_COUNTED: ReadonlySet<EngineOrder["kind"]> = new Set(["join", "leave"]);

/** Forgets what the engine stated, and whether it responds. */
function forgetEngine(record: HostRecord, now: number): void {
    record.entryAt = now;
    record.engine = undefined;
    record.requiredSince = undefined;
    record.effectDueAt = 0;
    record.awaitsChange = false;
    record.missedReports = 0;
    record.unregisteredSince = undefined;
}

/** Returns whether a report that is requested now would be the statement that is required. */
function isStatementDue({ statedAt, requiredSince }: HostRecord, now: number): boolean {
    return requiredSince !== undefined && (statedAt ?? Number.NEGATIVE_INFINITY) < requiredSince
        && now - MAXIMUM_REPORT_AGE_MILLISECONDS >= requiredSince;
}

/** Returns how many orders an engine has certainly accepted, given its result for an order with an expected count. */
function acceptedOrdersAfter(expected: number, order: EngineOrder, result: OrderResult): number {
    const acceptedCounts: Partial<Record<OrderResult, number>> = {
        "accepted": CERTAINLY_COUNTED.has(order.kind) ? expected + 1 : expected,
        "already-holds": expected,
    };
    return acceptedCounts[result] ?? 0;
}

/** Returns the entry of a host with what its engine stated; the same object until one of them changes. */
function shownTargetOf(record: HostRecord, engine: KnownEngine): Target {
    const { entry, shown } = record;
    if (shown?.entry === entry && shown.engine === engine) {
        return shown.target;
    }
    const { stagedModels, model, busy, membership, leftEpoch } = engine;
    const target = { ...entry, stagedModels, model, busy, membership, leftEpoch };
    record.shown = { entry, engine, target };
    return target;
}
