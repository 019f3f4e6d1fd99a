/** Times for which targets want no requests from this daemon, as they state when they turn a request away. */
import { isFromEarlierProcess, type StatedProcess } from "./targetprocess.js";

/** A rest of one process of a target. Times are monotonic milliseconds of this daemon. */
export interface TargetRest extends StatedProcess {
    readonly endsAt: number;
}

/** Known rests. */
export interface TargetRests {
    /**
     * Records that a process wants no requests for a time from now on, which is bounded by
     * {@link MAXIMUM_REST_MILLISECONDS}. Returns the rest if it ends later than the known one, otherwise `undefined`.
     */
    observe(process: StatedProcess, milliseconds: number, now: number): TargetRest | undefined;
    /** Returns the milliseconds until the rest of a process ends; 0 if it does not rest. */
    waitMilliseconds(process: StatedProcess, now: number): number;
    /** Returns the rests that have not ended. */
    resting(now: number): readonly TargetRest[];
    /** Drops the rests that have ended, and those of targets that are gone. */
    prune(isKnown: (target: string) => boolean, now: number): void;
}

/** Longest rest: a target that asks for more is tried again after this time. */
export const MAXIMUM_REST_MILLISECONDS = 3_600_000;

/** Creates an empty collection. */
export function createTargetRests(): TargetRests {
    const rests = new Map<string, TargetRest>();

    return {
        observe: ({ target, startedAt }, milliseconds, now) => {
            const next: TargetRest = {
                target,
                startedAt,
                endsAt: now + Math.min(milliseconds, MAXIMUM_REST_MILLISECONDS),
            };
            const known = rests.get(target);
            const isSuperseded = known !== undefined && (
                isFromEarlierProcess(next, known) || known.startedAt === startedAt && known.endsAt >= next.endsAt
            );
            if (isSuperseded || next.endsAt <= now) {
                return undefined;
            }
            rests.set(target, next);
            return next;
        },
        waitMilliseconds: ({ target, startedAt }, now) => {
            const known = rests.get(target);
            return known === undefined || known.startedAt !== startedAt ? 0 : Math.max(0, known.endsAt - now);
        },
        resting: now => [...rests.values()].filter(({ endsAt }) => endsAt > now),
        prune: (isKnown, now) =>
            [...rests.values()]
                .filter(({ target, endsAt }) => endsAt <= now || !isKnown(target))
                .forEach(({ target }) => rests.delete(target)),
    };
}
