/**
 * Which process of a target is cold, and until when. A process that is not known to be warm counts as cold. Times are monotonic
 * milliseconds of this daemon.
 */

/** What is known of the process of a target. */
export interface ProcessObservation {
    readonly target: string;
    /** Start of the process in Unix milliseconds, if it is stated. */
    readonly startedAt?: number;
    /** Number of the entry; what an entry states of its coldness counts from when it is first seen. */
    readonly entryNumber: number;
    /** How long the process stays cold, as its entry states; 0 if it is warm, absent if nothing is stated. */
    readonly coldMilliseconds?: number;
    /** When an evacuation of the data centre ended, if one did. */
    readonly evacuationEndedAt?: number;
}

/** Why a process turned cold. */
export type ColdReason = "entry" | "new-process" | "evacuation-ended";

/** Change of the coldness of a target. */
export interface WarmUpChange {
    readonly target: string;
    readonly reason: ColdReason;
    readonly startedAt?: number;
    readonly coldUntil: number;
    /** Whether the process was cold before. */
    readonly wasCold: boolean;
}

/** Coldness of all targets. */
export interface WarmUp {
    /** Records what is known of a target; returns the change if its process is now cold for another time than before. */
    observe(observation: ProcessObservation, coldStartMilliseconds: number, now: number): WarmUpChange | undefined;
    /** Returns whether another process of a target was observed last. */
    isRestarted(target: string, startedAt: number | undefined): boolean;
    /** Returns until when the target is cold; a time in the past if it is warm, and no time if it is not known. */
    coldUntil(target: string): number | undefined;
    /** Forgets the targets that were not seen for a minute; a process that returns sooner is known to be the same. */
    prune(isKnown: (target: string) => boolean, now: number): void;
}

interface KnownProcess {
    readonly observation: ProcessObservation;
    /** By what its entries state, or by when it was first seen. */
    readonly statedUntil: number;
    readonly coldUntil: number;
}

/** Entries that lapse during an outage of the store return within seconds, those of a partitioned data centre later. */
const RETENTION_MILLISECONDS = 60_000;

/** Creates an empty record. */
export function createWarmUp(): WarmUp {
    const processes = new Map<string, KnownProcess>();
    const missingSince = new Map<string, number>();

    return {
        observe: (observation, coldStartMilliseconds, now) => {
            const { target, startedAt, evacuationEndedAt = Number.NEGATIVE_INFINITY } = observation;
            const known = processes.get(target);
            const isSame = known !== undefined && known.observation.startedAt === startedAt;
            const statedUntil = isSame
                ? statedAgain(known, observation, now)
                : now + (observation.coldMilliseconds ?? coldStartMilliseconds);
            const evacuatedUntil = evacuationEndedAt + coldStartMilliseconds;
            const coldUntil = Math.max(statedUntil, evacuatedUntil);
            processes.set(target, { observation, statedUntil, coldUntil });
            const before = isSame ? known.coldUntil : Number.NEGATIVE_INFINITY;
            if (coldUntil === before || Math.max(coldUntil, before) <= now) {
                return undefined;
            }
            const statedReason = observation.coldMilliseconds === undefined ? "new-process" : "entry";
            return {
                target,
                startedAt,
                reason: evacuatedUntil > statedUntil ? "evacuation-ended" : statedReason,
                coldUntil,
                wasCold: before > now,
            };
        },
        isRestarted: (target, startedAt) => {
            const known = processes.get(target);
            return known !== undefined && known.observation.startedAt !== startedAt;
        },
        coldUntil: target => processes.get(target)?.coldUntil,
        prune: (isKnown, now) =>
            [...processes.keys()].forEach(target => {
                if (isKnown(target)) {
                    missingSince.delete(target);
                    return;
                }
                const since = missingSince.get(target) ?? now;
                missingSince.set(target, since);
                if (now - since >= RETENTION_MILLISECONDS) {
                    processes.delete(target);
                    missingSince.delete(target);
                }
            }),
    };
}

/** Returns until when a known process is cold by its entries. The membership of a host may change without a new entry. */
function statedAgain(
    { observation: before, statedUntil }: KnownProcess,
    next: ProcessObservation,
    now: number,
): number {
    const isSameEntry = before.entryNumber === next.entryNumber && before.coldMilliseconds === next.coldMilliseconds;
    return isSameEntry || next.coldMilliseconds === undefined ? statedUntil : now + next.coldMilliseconds;
}
