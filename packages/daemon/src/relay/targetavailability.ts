/**
 * What targets say of themselves in their responses: their rate, how long they rest, and that they leave; and whether they are
 * cold. Every way in
 * which a request of a caller reaches a target asks here first: first sends, retries, resumed and moved streams, and
 * requests to plain targets. Targets that leave are marked as draining in the state, which offers them to nobody.
 */
import {
    createTargetRests,
    type DaemonLocation,
    type LeavingStatement,
    MAXIMUM_REST_MILLISECONDS,
    type StatedLimit,
    type StatedProcess,
    type Target,
} from "@damaskvale/core";
import type { ColdTargets } from "../coldstart/coldtargets.js";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { RestStatement, TargetStatements } from "../ports/relayprotocol.js";
import type { RelayState } from "./statetypes.js";
import { createTargetRates, type SentRequest, type TargetRates } from "./targetrates.js";
import { createUnreadableStatements, type UnreadableStatements } from "./unreadablestatements.js";

/** A response with what it says about its target. */
export interface StatingResponse {
    readonly status: number;
    readonly statements: TargetStatements;
}

/** What targets say of themselves. */
export interface TargetAvailability {
    /** Records what a response says about its target. */
    recordResponse(request: SentRequest, response: StatingResponse): void;
    /** Returns the milliseconds until this daemon may send a request to the target; 0 if it may send one now. */
    waitMilliseconds(target: Target): number;
    /** Records that a request is sent to the target. */
    recordSent(target: Target): void;
    /** Returns what is known about the rates of targets, for other daemons. */
    limits(): readonly StatedLimit[];
    /** Records what another daemon knows about the rate of a target. */
    mergeLimit(limit: StatedLimit): void;
    /** Returns the statements of known targets that they leave, for other daemons. */
    leaving(): readonly LeavingStatement[];
    /** Records the report of another daemon about a target that leaves. */
    mergeLeaving(statement: LeavingStatement, daemon: string): void;
    /** Number of targets that limit their rate. */
    limitedTargets(): number;
    /** Number of targets that want no requests from this daemon now. */
    restingTargets(): number;
    /** Number of responses whose statements could not be read. */
    unreadableStatements(): number;
    /** Registers a listener for statements of targets that other daemons should learn of at once. */
    onChange(listener: () => void): void;
}

/** Collaborators of the availability. */
export interface TargetAvailabilityParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly self: DaemonLocation;
    /** Other daemons that reported recently. */
    readonly reachableDaemons: () => readonly DaemonLocation[];
    /** Number of all daemons, including this one. */
    readonly knownDaemons: () => number;
    readonly state: Pick<RelayState, "targetById" | "drain">;
    /** Pace of requests to cold targets. */
    readonly coldTargets?: Pick<ColdTargets, "waitMilliseconds" | "recordSent">;
}

/**
 * How long other daemons are believed that a process of unknown start leaves. Later, another process may run under its
 * id, which this daemon could not distinguish from it.
 */
const UNIDENTIFIED_PROCESS_MILLISECONDS = 3_000;
const PRUNE_INTERVAL_MILLISECONDS = 5_000;

/** Creates the availability. All targets take requests at first. */
export function createTargetAvailability(parts: TargetAvailabilityParts): TargetAvailability {
    return new TargetAvailabilityTask(parts);
}

class TargetAvailabilityTask implements TargetAvailability {
    private readonly unreadable: UnreadableStatements;
    private readonly rates: TargetRates;
    private readonly rests = createTargetRests();
    /** Statements of targets that they leave, by target. */
    private readonly leavingTargets = new Map<string, LeavingStatement>();
    private readonly listeners: (() => void)[] = [];
    private prunedAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly parts: TargetAvailabilityParts) {
        this.unreadable = createUnreadableStatements(parts.log);
        this.rates = createTargetRates({
            ...parts,
            isKnown: target => this.isKnown(target),
            unreadable: this.unreadable,
        });
        this.rates.onChange(() => this.announce());
    }

    recordResponse(request: SentRequest, { status, statements }: StatingResponse): void {
        const process: StatedProcess = { target: request.target.id, startedAt: request.target.startedAt };
        this.rates.recordResponse(request, { status, rate: statements.rate });
        this.recordRest(process, statements.rest, status);
        const now = this.parts.clock.monotonic();
        if (
            statements.leaving && this.recordLeaving({ ...process, statedAt: now }, { learnedFrom: "response", status })
        ) {
            this.announce();
        }
    }

    waitMilliseconds(target: Target): number {
        const { id, startedAt } = target;
        const rest = this.rests.waitMilliseconds({ target: id, startedAt }, this.parts.clock.monotonic());
        const cold = this.parts.coldTargets?.waitMilliseconds(target) ?? 0;
        return Math.max(rest, this.rates.waitMilliseconds(target), cold);
    }

    recordSent(target: Target): void {
        this.rates.recordSent(target);
        this.parts.coldTargets?.recordSent(target);
    }

    limits(): readonly StatedLimit[] {
        this.prune(this.parts.clock.monotonic());
        return this.rates.statements();
    }

    mergeLimit(limit: StatedLimit): void {
        this.rates.merge(limit);
    }

    leaving(): readonly LeavingStatement[] {
        return [...this.leavingTargets.values()].filter(statement => this.isLeaving(statement));
    }

    mergeLeaving(statement: LeavingStatement, daemon: string): void {
        const ageMilliseconds = this.parts.clock.monotonic() - statement.statedAt;
        if (statement.startedAt !== undefined || ageMilliseconds < UNIDENTIFIED_PROCESS_MILLISECONDS) {
            this.recordLeaving(statement, { learnedFrom: "daemon", daemon, ageMilliseconds });
        }
    }

    limitedTargets(): number {
        return this.rates.limitedTargets();
    }

    restingTargets(): number {
        return this.rests.resting(this.parts.clock.monotonic()).length;
    }

    unreadableStatements(): number {
        return this.unreadable.count();
    }

    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    private announce(): void {
        this.listeners.forEach(listener => listener());
    }

    private isKnown(target: string): boolean {
        return this.parts.state.targetById(target) !== undefined;
    }

    /** Returns whether a process is known to leave by a statement, and still present. */
    private isLeaving({ target, startedAt }: StatedProcess): boolean {
        const statement = this.leavingTargets.get(target);
        const known = this.parts.state.targetById(target);
        return statement !== undefined && known !== undefined && known.draining
            && statement.startedAt === startedAt && known.startedAt === startedAt;
    }

    /** Marks a target as draining; returns whether it was not known that this process leaves. */
    private recordLeaving(statement: LeavingStatement, source: Readonly<Record<string, unknown>>): boolean {
        const { target, startedAt } = statement;
        const wasLeaving = this.isLeaving(statement);
        const isPresent = this.parts.state.drain({ target, startedAt });
        if (wasLeaving || !isPresent) {
            return false;
        }
        this.leavingTargets.set(target, statement);
        this.parts.log.emit("targetLeaving", { target, startedAt, ...source });
        return true;
    }

    private recordRest(process: StatedProcess, rest: RestStatement, status: number): void {
        if (rest.kind === "unreadable") {
            this.unreadable.record("targetRestUnreadable", process.target, rest.text);
        }
        if (rest.kind !== "resting") {
            return;
        }
        const now = this.parts.clock.monotonic();
        const wasResting = this.rests.waitMilliseconds(process, now) > 0;
        const change = this.rests.observe(process, rest.milliseconds, now);
        if (change !== undefined && !wasResting) {
            this.parts.log.emit("targetResting", {
                ...process,
                statedMilliseconds: rest.milliseconds,
                milliseconds: Math.min(rest.milliseconds, MAXIMUM_REST_MILLISECONDS),
                status,
            });
        }
    }

    private prune(now: number): void {
        if (now - this.prunedAt >= PRUNE_INTERVAL_MILLISECONDS) {
            this.prunedAt = now;
            const isKnown = (target: string): boolean => this.isKnown(target);
            this.rests.prune(isKnown, now);
            this.unreadable.prune(isKnown);
            [...this.leavingTargets.keys()].filter(target => !isKnown(target))
                .forEach(target => this.leavingTargets.delete(target));
        }
    }
}
