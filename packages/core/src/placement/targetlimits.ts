/** Limits on the request rate that targets state in their responses, as known from this daemon's and others' responses. */
import { isFromEarlierProcess, type StatedProcess } from "./targetprocess.js";

/** What one response says. Times are monotonic milliseconds of this daemon. */
export interface LimitObservation extends StatedProcess {
    /** When the request of the response was sent. */
    readonly sentAt: number;
    /** Whether the request succeeded. Other responses may lack a limit that is still in force. */
    readonly succeeded: boolean;
    /** Requests per second that the target accepts from all daemons together; absent if the response states none. */
    readonly requestsPerSecond?: number;
}

/** The newest statement known of a target. */
export interface StatedLimit extends StatedProcess {
    /** Absent if the target has stated that it is no longer limited. */
    readonly requestsPerSecond?: number;
    /** When the target was last known to state this, in monotonic milliseconds of this daemon. */
    readonly statedAt: number;
}

/** Known limits. Both ways to learn a statement return it if it changes the rate in force, otherwise `undefined`. */
export interface TargetLimits {
    observe(observation: LimitObservation, now: number): StatedLimit | undefined;
    /** Takes over a statement that another daemon knows, unless it is older than the known one. */
    merge(limit: StatedLimit): StatedLimit | undefined;
    /** Returns the rate in force for a process of a target, or `undefined` if it is not limited. */
    rateOf(target: string, startedAt: number | undefined): number | undefined;
    /** Returns all known statements. Limits that ended stay for a while, so that all daemons learn of it. */
    statements(): readonly StatedLimit[];
    /** Drops limits that ended, and those of targets that are gone, if they were not stated recently. */
    prune(isKnown: (target: string) => boolean, now: number): void;
}

const RETENTION_MILLISECONDS = 10_000;

/** Creates an empty collection. */
export function createTargetLimits(): TargetLimits {
    const limits = new Map<string, StatedLimit>();

    const apply = (next: StatedLimit): StatedLimit | undefined => {
        const known = limits.get(next.target);
        if (known !== undefined && isFromEarlierProcess(next, known)) {
            return undefined;
        }
        limits.set(next.target, next);
        const before = known?.startedAt === next.startedAt ? known?.requestsPerSecond : undefined;
        return before === next.requestsPerSecond ? undefined : next;
    };

    return {
        observe: ({ target, startedAt, sentAt, succeeded, requestsPerSecond }, now) => {
            if (requestsPerSecond !== undefined) {
                return apply({ target, startedAt, requestsPerSecond, statedAt: now });
            }
            const known = limits.get(target);
            // Responses can overtake each other, so only a request sent after the last statement can revoke it.
            const revokes = known?.requestsPerSecond !== undefined && succeeded && sentAt > known.statedAt;
            return revokes ? apply({ target, startedAt, statedAt: now }) : undefined;
        },
        merge: limit => {
            const known = limits.get(limit.target);
            const isUpdate = known === undefined || limit.statedAt > known.statedAt
                || isFromEarlierProcess(known, limit);
            return isUpdate ? apply(limit) : undefined;
        },
        rateOf: (target, startedAt) => {
            const known = limits.get(target);
            return known?.startedAt === startedAt ? known?.requestsPerSecond : undefined;
        },
        statements: () => [...limits.values()],
        prune: (isKnown, now) =>
            [...limits.values()]
                .filter(({ target, requestsPerSecond }) => requestsPerSecond === undefined || !isKnown(target))
                .filter(({ statedAt }) => now - statedAt > RETENTION_MILLISECONDS)
                .forEach(({ target }) => limits.delete(target)),
    };
}
