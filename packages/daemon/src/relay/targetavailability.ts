/**
 * What targets say of themselves in their responses, and when this daemon may send a request to each of them. Every way
 * in which a request of a caller reaches a target passes through here: first sends, retries, resumed and moved streams,
 * and requests to plain targets.
 */
import {
    createTargetRests,
    type DaemonLocation,
    MAXIMUM_REST_MILLISECONDS,
    type StatedLimit,
    type StatedProcess,
    type Target,
} from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { RestStatement, TargetStatements } from "../ports/relayprotocol.js";
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
    /** Other daemons that were heard recently. */
    readonly reachableDaemons: () => readonly DaemonLocation[];
    /** Number of all daemons, including this one. */
    readonly knownDaemons: () => number;
    /** Returns whether a target is registered. */
    readonly isKnown: (target: string) => boolean;
}

const PRUNE_INTERVAL_MILLISECONDS = 5_000;

/** Creates the availability. All targets take requests at first. */
export function createTargetAvailability(parts: TargetAvailabilityParts): TargetAvailability {
    return new TargetAvailabilityTask(parts);
}

class TargetAvailabilityTask implements TargetAvailability {
    private readonly unreadable: UnreadableStatements;
    private readonly rates: TargetRates;
    private readonly rests = createTargetRests();
    private prunedAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly parts: TargetAvailabilityParts) {
        this.unreadable = createUnreadableStatements(parts.log);
        this.rates = createTargetRates({ ...parts, unreadable: this.unreadable });
    }

    recordResponse(request: SentRequest, { status, statements }: StatingResponse): void {
        this.rates.recordResponse(request, { status, rate: statements.rate });
        this.recordRest({ target: request.target.id, startedAt: request.target.startedAt }, statements.rest, status);
    }

    waitMilliseconds(target: Target): number {
        const { id, startedAt } = target;
        const rest = this.rests.waitMilliseconds({ target: id, startedAt }, this.parts.clock.monotonic());
        return Math.max(rest, this.rates.waitMilliseconds(target));
    }

    recordSent(target: Target): void {
        this.rates.recordSent(target);
    }

    limits(): readonly StatedLimit[] {
        this.prune(this.parts.clock.monotonic());
        return this.rates.statements();
    }

    mergeLimit(limit: StatedLimit): void {
        this.rates.merge(limit);
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
        this.rates.onChange(listener);
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
            this.rests.prune(this.parts.isKnown, now);
            this.unreadable.prune(this.parts.isKnown);
        }
    }
}
