/** Evacuated data centres as this daemon knows them, from its own reads of the log and from other daemons. */
import { createEvacuations, type EvacuationStatement, type LogPosition } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import { startTimer } from "../relay/timers.js";

/** Evacuations that are in force on this daemon. */
export interface EvacuationState {
    /** Takes over a statement of the log; `daemon` is the daemon that passed it on, if one did. */
    merge(statement: EvacuationStatement, daemon?: string): void;
    /** Takes over a read of all evacuations. */
    replaceAll(evacuated: readonly string[], position: LogPosition): void;
    isEvacuated(dataCentre: string): boolean;
    /** Number of evacuated data centres. */
    count(): number;
    /** When the evacuation of a data centre ended, in monotonic milliseconds; `undefined` if none has ended. */
    endedAt(dataCentre: string): number | undefined;
    /** Returns what is known, for other daemons. */
    statements(): readonly EvacuationStatement[];
    /** Registers a listener that is called after each change. */
    onChange(listener: () => void): void;
}

/** Collaborators of the evacuations. */
export interface EvacuationParts {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Whether a data centre has a target or a daemon. */
    readonly isKnownDataCentre: (dataCentre: string) => boolean;
}

/** A daemon that starts reads evacuations a moment before it reads the targets. */
const UNKNOWN_CHECK_MILLISECONDS = 5_000;

/** Creates the state of a daemon that knows of no evacuation. */
export function createEvacuationState(parts: EvacuationParts): EvacuationState {
    return new EvacuationTask(parts);
}

class EvacuationTask implements EvacuationState {
    private readonly evacuations = createEvacuations();
    private readonly endTimes = new Map<string, number>();
    private readonly listeners: (() => void)[] = [];

    constructor(private readonly parts: EvacuationParts) {}

    merge(statement: EvacuationStatement, daemon?: string): void {
        if (this.evacuations.merge(statement)) {
            this.applyChanges(
                [statement],
                daemon === undefined ? { learnedFrom: "log" } : { learnedFrom: "daemon", daemon },
            );
        }
    }

    replaceAll(evacuated: readonly string[], position: LogPosition): void {
        const changes = this.evacuations.replaceAll(evacuated, position);
        if (changes.length > 0) {
            this.applyChanges(changes, { learnedFrom: "log" });
        }
    }

    isEvacuated(dataCentre: string): boolean {
        return this.evacuations.isEvacuated(dataCentre);
    }

    count(): number {
        return this.evacuations.dataCentres().length;
    }

    endedAt(dataCentre: string): number | undefined {
        return this.endTimes.get(dataCentre);
    }

    statements(): readonly EvacuationStatement[] {
        return this.evacuations.statements();
    }

    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    private applyChanges(changes: readonly EvacuationStatement[], source: Readonly<Record<string, unknown>>): void {
        const { clock, log } = this.parts;
        changes.forEach(({ dataCentre, evacuated, era, offset }) => {
            log.emit(evacuated ? "evacuationBegan" : "evacuationEnded", { dataCentre, era, offset, ...source });
            if (evacuated) {
                this.endTimes.delete(dataCentre);
                startTimer(() => this.reportUnknown(dataCentre), UNKNOWN_CHECK_MILLISECONDS).unref();
            }
            else {
                this.endTimes.set(dataCentre, clock.monotonic());
            }
        });
        this.listeners.forEach(listener => listener());
    }

    private reportUnknown(dataCentre: string): void {
        if (this.isEvacuated(dataCentre) && !this.parts.isKnownDataCentre(dataCentre)) {
            this.parts.log.emit("evacuationUnknown", { dataCentre });
        }
    }
}
