/**
 * What is known of one engine: the group that it is in, and the number of orders that it had accepted when it was in it. The two are
 * one value, so that an order that is made from a membership never expects the number of another one.
 */
import {
    type EngineOrder,
    epochLeft,
    type GroupMembership,
    orderStatements,
    type StatedGroup,
    type Target,
} from "@damaskvale/core";
import type { EngineReport, OrderResult } from "../ports/enginecontrol.js";

/** What stated a membership: an entry or a notice of another daemon, a report of the engine, or its answer to an order. */
export type MembershipSource = "entry" | "report" | "order";

/** State of an engine after a number of orders. Times are monotonic milliseconds. */
export interface KnownEngine extends Pick<Target, "stagedModels" | "model" | "busy" | "membership" | "leftEpoch"> {
    /** Number of orders that the engine had accepted in this state. */
    readonly orderSequence: number;
    /** Whether the engine may have accepted another order since, so that no order is made from this state. */
    readonly isDoubted: boolean;
    readonly membershipFrom: MembershipSource;
    /** When this daemon learned the membership. */
    readonly membershipAt: number;
    /** When the engine last stated the number. */
    readonly sequenceAt: number;
}

/** The known membership of a host with its source and age, and the age of the number of orders, for the log. */
export interface MembershipProvenance {
    /** Absent if the host is known to belong to no group. */
    readonly known: GroupMembership | undefined;
    readonly knownFrom: MembershipSource;
    readonly knownAgeMilliseconds: number;
    readonly sequenceAgeMilliseconds: number;
}

/** Returns what an order is made from. */
export function provenanceOf(
    { membership, membershipFrom, membershipAt, sequenceAt }: KnownEngine,
    now: number,
): MembershipProvenance {
    return {
        known: membership,
        knownFrom: membershipFrom,
        knownAgeMilliseconds: Math.round(now - membershipAt),
        sequenceAgeMilliseconds: Math.round(now - sequenceAt),
    };
}

/** A report, and what it is combined with. */
export interface ArrivedReport {
    readonly report: EngineReport;
    /** What was known of the engine: from itself, or from its entry alone. */
    readonly known: KnownEngine | Target;
    readonly arrivedAt: number;
    /** Whether the report was made after all that is known. */
    readonly isNewest: boolean;
}

/** Returns the state after a report. A report may be older than the entry with which it is combined. */
export function knownFromReport({ report, known, isNewest, arrivedAt }: ArrivedReport): KnownEngine {
    const { stagedModels, model, busy, membership, orderSequence } = report;
    const isLater = isNewest || isLaterByOrders(report, known);
    const reported: KnownEngine = {
        stagedModels,
        model,
        busy,
        membership,
        leftEpoch: membership === undefined && isLater ? epochLeft(known) : undefined,
        orderSequence,
        isDoubted: false,
        membershipFrom: "report",
        membershipAt: arrivedAt,
        sequenceAt: arrivedAt,
    };
    if (isLater || isTaken(reported, known)) {
        return reported;
    }
    // Joining takes no order, so that the number still goes with the later state of the same membership.
    const isSameMembership = membership !== undefined && membership.epoch === known.membership?.epoch;
    return {
        ...reported,
        membership: known.membership,
        leftEpoch: known.leftEpoch,
        isDoubted: !isSameMembership,
        membershipFrom: "membershipFrom" in known ? known.membershipFrom : "entry",
    };
}

/** Returns whether the engine had accepted as many orders as when it was in the known group, or more. */
function isLaterByOrders(report: EngineReport, known: KnownEngine | Target): boolean {
    if (!("orderSequence" in known)) {
        return false;
    }
    const isGroupOfNumber = known.membershipFrom !== "entry" || !known.isDoubted;
    const isEarlierState = report.orderSequence === known.orderSequence && orderStatements(report, known) === "earlier";
    return isGroupOfNumber && report.orderSequence >= known.orderSequence && !isEarlierState;
}

/** Returns whether a report replaces what only an entry shows. One without a group may be from before the entry's group. */
function isTaken(report: KnownEngine, known: StatedGroup): boolean {
    const order = orderStatements(report, known);
    return order === "same" || order === "later" || (order === "unordered" && known.membership === undefined);
}

/**
 * Returns the state after a registry entry. An entry that may be older than the state changes nothing. One that shows a later group
 * shows the effect of an order whose number is not known.
 */
export function knownFromEntry(known: KnownEngine, entry: Target, now: number): KnownEngine {
    const order = orderStatements(entry, known);
    if (order === "earlier" || order === "unordered") {
        return known;
    }
    const { stagedModels, model, busy, membership, leftEpoch } = entry;
    const updated = { ...known, stagedModels, model, busy };
    if (order === "same") {
        return updated;
    }
    return {
        ...updated,
        membership,
        leftEpoch,
        isDoubted: known.isDoubted || membership?.epoch !== known.membership?.epoch,
        membershipFrom: "entry",
        membershipAt: now,
    };
}

/** An order to an engine with the state from which it was made. */
export interface AnsweredOrder {
    readonly order: EngineOrder;
    readonly result: OrderResult;
    /** Number of accepted orders that the order expected. */
    readonly expectedSequence: number;
    readonly answeredAt: number;
}

/** Returns whether an engine states by its answer that the order has taken effect or will. */
export function takesEffect({ order, result }: Pick<AnsweredOrder, "order" | "result">): boolean {
    // An order to leave takes effect at once, and engines respond with `already-holds` to it.
    return result === "accepted" || (order.kind === "leave" && result === "already-holds");
}

/** Returns whether an engine certainly counts an order. It accepts a load again while it loads, and does not count it then. */
function raisesOrderCount(answered: Pick<AnsweredOrder, "order" | "result">): boolean {
    return takesEffect(answered) && answered.order.kind !== "stage";
}

/** Returns the state after the answer to an order. */
export function knownFromAnswer(known: KnownEngine, answered: AnsweredOrder): KnownEngine {
    if (!raisesOrderCount(answered)) {
        return { ...known, isDoubted: true };
    }
    const { order, expectedSequence, answeredAt } = answered;
    const isOwnGroup = order.kind === "join" && known.membership?.group === order.group;
    // An entry that arrived before the answer showed a group that this order does not name.
    return known.isDoubted && !isOwnGroup
        ? known
        : {
            ...applyOrder(known, order, answeredAt),
            orderSequence: expectedSequence + 1,
            isDoubted: false,
            sequenceAt: answeredAt,
        };
}

/** Returns the state after an order that takes effect. A group that was opened or closed shows it later by itself. */
function applyOrder(known: KnownEngine, order: EngineOrder, now: number): KnownEngine {
    const answered = { ...known, membershipFrom: "order", membershipAt: now } as const;
    if (order.kind === "leave") {
        return { ...answered, membership: undefined, leftEpoch: order.epoch };
    }
    return order.kind === "join" && known.membership?.group !== order.group
        ? { ...answered, membership: joiningMembership(order), leftEpoch: undefined }
        : known;
}

function joiningMembership({ host, group, epoch, members }: Extract<EngineOrder, { kind: "join"; }>): GroupMembership {
    return { group, epoch, rank: members.indexOf(host), state: "joining" };
}

/** Returns whether two memberships differ in their group or its state. */
export function membershipDiffers(left: GroupMembership | undefined, right: GroupMembership | undefined): boolean {
    return left?.group !== right?.group || left?.state !== right?.state || left?.epoch !== right?.epoch;
}
