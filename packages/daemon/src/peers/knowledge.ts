/** What daemons tell each other in every message: statements of targets, quarantined parts, the configuration in force. */
import type { EvacuationStatement, LeavingStatement, QuarantineReport, StatedLimit } from "@damaskvale/core";
import type { CommonFields } from "./exchangemessage.js";
import { decodeQuarantine, encodeQuarantine } from "./quarantinemessage.js";

/** Sources and receivers of this knowledge. All times are of this daemon's monotonic clock. */
export interface KnowledgeParts {
    /** Statements of targets about their request rate that this daemon knows. */
    readonly limits: () => readonly StatedLimit[];
    /** Called with each such statement that another daemon knows. */
    readonly onLimit: (limit: StatedLimit) => void;
    /** Statements of targets that they leave, as far as this daemon knows. */
    readonly leaving: () => readonly LeavingStatement[];
    /** Called with each such statement that another daemon knows. */
    readonly onLeaving: (statement: LeavingStatement, daemon: string) => void;
    /** What this daemon knows about prompt parts on which targets crash. */
    readonly quarantine: () => QuarantineReport;
    /** Whether crashes or decisions about parts are so new that every message should contain them. */
    readonly hasQuarantineUpdates: () => boolean;
    /** Called with what another daemon knows. */
    readonly onQuarantine: (report: QuarantineReport, daemon: string) => void;
    /** Evacuations of data centres that this daemon knows. */
    readonly evacuations: () => readonly EvacuationStatement[];
    /** Called with each evacuation that another daemon knows. */
    readonly onEvacuation: (statement: EvacuationStatement, daemon: string) => void;
    /** Version of the configuration in force on this daemon, 0 if there is none. */
    readonly configurationVersion: () => number;
    /** Newest version that this daemon knows of, also if it has not read it yet. */
    readonly newestConfiguration: () => number;
    /** Called when another daemon knows of a version that is newer than the one in force. */
    readonly onNewerConfiguration: (version: number) => void;
    /** Whether this daemon takes requests of daemons that reach no target. */
    readonly takesRequests: () => boolean;
}

/** Returns the fields that every message has. Parts of prompts are large and rarely needed, so that they may be left out. */
export function encodeKnowledge(
    daemon: string,
    parts: KnowledgeParts,
    now: number,
    includesQuarantine: boolean,
): CommonFields {
    return {
        daemon,
        configurationVersion: parts.newestConfiguration(),
        takesRequests: parts.takesRequests(),
        limits: parts.limits().map(limit => withAge(limit, now)),
        leaving: parts.leaving().map(statement => withAge(statement, now)),
        quarantine: includesQuarantine ? encodeQuarantine(parts.quarantine(), now) : undefined,
        evacuations: encodeEvacuations(parts.evacuations()),
    };
}

/** Takes over the fields that every message has. */
export function applyKnowledge(message: CommonFields, parts: KnowledgeParts, now: number): void {
    const { daemon, configurationVersion, limits, leaving, quarantine, evacuations } = message;
    limits.forEach(({ ageMilliseconds, ...limit }) => parts.onLimit({ ...limit, statedAt: now - ageMilliseconds }));
    leaving.forEach(({ ageMilliseconds, ...process }) =>
        parts.onLeaving({ ...process, statedAt: now - ageMilliseconds }, daemon)
    );
    if (quarantine !== undefined) {
        parts.onQuarantine(decodeQuarantine(quarantine, now), daemon);
    }
    evacuations?.forEach(([dataCentre, evacuated, era, offset]) =>
        parts.onEvacuation({ dataCentre, evacuated, era, offset }, daemon)
    );
    if (configurationVersion > parts.configurationVersion()) {
        parts.onNewerConfiguration(configurationVersion);
    }
}

function encodeEvacuations(statements: readonly EvacuationStatement[]): CommonFields["evacuations"] {
    return statements.length === 0
        ? undefined
        : statements.map(({ dataCentre, evacuated, era, offset }) => [dataCentre, evacuated, era, offset]);
}

/** Replaces the time of a statement by its age. */
function withAge<Statement extends LeavingStatement>(
    { statedAt, ...statement }: Statement,
    now: number,
): Omit<Statement, "statedAt"> & { readonly ageMilliseconds: number; } {
    return { ...statement, ageMilliseconds: Math.max(0, now - statedAt) };
}
