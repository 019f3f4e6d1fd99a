/** What the planner keeps of each host beyond its registry entry: orders on their way, reports and reachability. */
import type { EngineHost, EngineOrderKind, Target } from "@damaskvale/core";
import type { EngineReport, OrderResult } from "../ports/enginecontrol.js";

/** Records of the hosts of the domains for which this daemon plans. Times are monotonic milliseconds. */
export interface HostRecords {
    /** The host as the planner sees it: its entry, or its report if that is newer. */
    describe(target: Target, now: number): EngineHost;
    /** Orders that the engine has accepted, if that is known. */
    sequenceOf(target: Target): number | undefined;
    /** Whether the engine should be asked for a report. */
    needsReport(target: Target, now: number): boolean;
    noteOrderSent(target: Target, now: number): void;
    noteOrderResult(target: Target, kind: EngineOrderKind, result: OrderResult, now: number): void;
    noteReportAsked(target: Target, now: number): void;
    noteReport(target: Target, report: EngineReport | undefined, now: number): void;
    /** Notes that the group of the host stands still, so that silence means that the host is lost. */
    noteSuspicion(target: Target, now: number): void;
    /** Drops the records of hosts that are not in the set. */
    retain(ids: ReadonlySet<string>): void;
}

interface HostRecord {
    /** Entry for which the record holds; a new one ends the wait for an order and replaces a report. */
    entry: Target;
    knownSince: number;
    sequence?: number;
    orderInFlight: boolean;
    awaitingUntil: number;
    orderedAt: number;
    report?: EngineReport;
    silences: number;
    askedAt: number;
    suspectedUntil: number;
}

/** How long an accepted order may take to show in the registry before the engine is asked. */
const EFFECT_MILLISECONDS = 600;
/** A report is up to this old when it arrives, so that one asked sooner after an order may not show its effect. */
const REPORT_AGE_MILLISECONDS = 350;
/** Reports in a row that may stay unanswered before the host counts as unreachable. */
const SILENCES = 2;
/** Longer than the time after which an unanswered report is given up, so that one is asked at a time. */
const REPORT_INTERVAL_MILLISECONDS = 350;
/** Hosts whose entry lapsed are asked this often whether they still run. */
const LAPSED_REPORT_INTERVAL_MILLISECONDS = 600;
/** How long a suspicion holds. */
const SUSPICION_MILLISECONDS = 4_000;

/** Makes empty records. */
export function createHostRecords(): HostRecords {
    const records = new Map<string, HostRecord>();

    const recordOf = (target: Target, now = 0): HostRecord => {
        const known = records.get(target.id);
        if (known?.entry === target) {
            return known;
        }
        const restarted = known !== undefined && known.entry.startedAt !== target.startedAt;
        const record: HostRecord = {
            entry: target,
            knownSince: restarted ? now : known?.knownSince ?? now,
            sequence: restarted ? undefined : known?.sequence,
            orderInFlight: known?.orderInFlight ?? false,
            awaitingUntil: 0,
            orderedAt: known?.orderedAt ?? Number.NEGATIVE_INFINITY,
            silences: known?.silences ?? 0,
            askedAt: known?.askedAt ?? Number.NEGATIVE_INFINITY,
            suspectedUntil: known?.suspectedUntil ?? 0,
        };
        records.set(target.id, record);
        return record;
    };

    return {
        describe: (target, now) => {
            const record = recordOf(target, now);
            const unreachable = record.silences >= SILENCES;
            return {
                target: record.report === undefined ? target : { ...target, ...engineFieldsOf(record.report) },
                knownSince: record.knownSince,
                awaiting: record.orderInFlight || now < record.awaitingUntil || record.sequence === undefined,
                unreachable,
                lost: unreachable && (now < record.suspectedUntil || !target.registered),
            };
        },
        sequenceOf: target => recordOf(target).sequence,
        needsReport: (target, now) => {
            const record = recordOf(target, now);
            const due = now - record.askedAt > REPORT_INTERVAL_MILLISECONDS
                && now - record.orderedAt > REPORT_AGE_MILLISECONDS
                && !record.orderInFlight;
            if (!target.registered) {
                return !record.orderInFlight && now - record.askedAt > LAPSED_REPORT_INTERVAL_MILLISECONDS;
            }
            const effectMissing = record.awaitingUntil > 0 && now >= record.awaitingUntil;
            const doubted = now < record.suspectedUntil || record.silences > 0;
            return due && (effectMissing || doubted || record.sequence === undefined);
        },
        noteOrderSent: target => {
            recordOf(target).orderInFlight = true;
        },
        noteOrderResult: (target, kind, result, now) => {
            const record = recordOf(target);
            record.orderInFlight = false;
            record.orderedAt = now;
            record.silences = result === "unanswered" ? record.silences : 0;
            const left = kind === "leave" && result === "already-holds" && record.report?.membership !== undefined;
            const leftEntry = kind === "leave" && result === "already-holds" && record.report === undefined
                && target.membership !== undefined;
            if (left || leftEntry) {
                // Leaving takes effect at once, which engines answer like an order that already holds.
                record.sequence = record.sequence === undefined ? undefined : record.sequence + 1;
                record.report = {
                    ...record.entry,
                    ...record.report,
                    membership: undefined,
                    waiting: 0,
                    running: 0,
                    pace: 1,
                };
                return;
            }
            if (result === "accepted") {
                record.sequence = record.sequence === undefined ? undefined : record.sequence + 1;
                record.awaitingUntil = record.entry === target && kind !== "stage" ? now + EFFECT_MILLISECONDS : 0;
                record.report = undefined;
                return;
            }
            record.sequence = undefined;
            record.report = undefined;
            record.awaitingUntil = now + REPORT_AGE_MILLISECONDS;
        },
        noteReportAsked: (target, now) => {
            recordOf(target).askedAt = now;
        },
        noteReport: (target, report, now) => {
            const record = recordOf(target);
            if (record.orderInFlight || now - record.orderedAt < REPORT_AGE_MILLISECONDS) {
                return;
            }
            if (report === undefined) {
                record.silences += 1;
                return;
            }
            record.silences = 0;
            record.sequence = report.orderSequence;
            record.awaitingUntil = 0;
            record.report = report;
        },
        noteSuspicion: (target, now) => {
            const record = recordOf(target);
            record.suspectedUntil = now + SUSPICION_MILLISECONDS;
        },
        retain: ids => [...records.keys()].filter(id => !ids.has(id)).forEach(id => records.delete(id)),
    };
}

function engineFieldsOf(
    report: EngineReport,
): Pick<Target, "stagedModels" | "model" | "busy" | "orderSequence" | "membership"> {
    const { stagedModels, model, busy, orderSequence, membership } = report;
    return { stagedModels, model, busy, orderSequence, membership };
}
