/** Crashes that are known, merged by process. The result doesn't depend on the order in which they were learned. */
import {
    CRASH_RETENTION_MILLISECONDS,
    MAXIMUM_CRASHES,
    MAXIMUM_PARTS_OF_CRASH,
    SAME_CRASH_MILLISECONDS,
} from "./constants.js";
import type { ReportedCrash } from "./types.js";

/** A known crash. */
export interface KnownCrash {
    readonly target: string;
    readonly startedAt?: number;
    readonly at: number;
    readonly parts: ReadonlySet<string>;
    readonly withdrawn: boolean;
    /** When this daemon last learned something new about it. */
    readonly changedAt: number;
}

/** Bounded collection of crashes. */
export interface Crashes {
    /** Adds what is told of a crash; returns the crash if that is news. */
    add(crash: ReportedCrash, now: number): KnownCrash | undefined;
    /** Returns the crashes with this part, oldest first. */
    withPart(part: string): readonly KnownCrash[];
    /** Returns all crashes that count, oldest first. */
    all(): readonly KnownCrash[];
    /** Returns all crashes, also those withdrawn, oldest first. */
    known(): readonly KnownCrash[];
    /** Returns all parts that occur in a crash. */
    parts(): readonly string[];
    hasPart(part: string): boolean;
    prune(now: number): void;
}

/** Creates an empty collection. */
export function createCrashes(): Crashes {
    const crashes = new Map<string, KnownCrash>();
    /** Keys of the crashes of each part. */
    const byPart = new Map<string, Set<string>>();
    /** Results that hold until a crash is added or removed. */
    const countedByPart = new Map<string, readonly KnownCrash[]>();
    let sorted: readonly KnownCrash[] | undefined;
    let counted: readonly KnownCrash[] | undefined;

    const invalidate = (): void => {
        sorted = undefined;
        counted = undefined;
        countedByPart.clear();
    };
    const known = (): readonly KnownCrash[] => {
        sorted ??= [...crashes.values()].sort((left, right) => left.at - right.at);
        return sorted;
    };
    const remove = (key: string): void => {
        crashes.get(key)?.parts.forEach(part => {
            const keys = byPart.get(part);
            keys?.delete(key);
            if (keys?.size === 0) {
                byPart.delete(part);
            }
        });
        crashes.delete(key);
        invalidate();
    };
    const limitParts = (parts: ReadonlySet<string>): Set<string> => {
        if (parts.size <= MAXIMUM_PARTS_OF_CRASH) {
            return new Set(parts);
        }
        const isRepeated = (part: string): boolean => byPart.has(part);
        const sortedParts = [...parts].sort();
        const chosen = [...sortedParts.filter(isRepeated), ...sortedParts.filter(part => !isRepeated(part))];
        return new Set(chosen.slice(0, MAXIMUM_PARTS_OF_CRASH));
    };
    const set = (key: string, crash: KnownCrash): void => {
        remove(key);
        crashes.set(key, crash);
        crash.parts.forEach(part => byPart.set(part, (byPart.get(part) ?? new Set()).add(key)));
        invalidate();
    };
    /** A crash without a start is the same as one with a start that is close to it. */
    const isRepetition = (crash: KnownCrash): boolean =>
        crash.startedAt === undefined
        && [...crashes.values()].some(other =>
            other.target === crash.target && other.startedAt !== undefined
            && Math.abs(other.at - crash.at) <= SAME_CRASH_MILLISECONDS
        );
    const counts = (crash: KnownCrash): boolean => !crash.withdrawn && !isRepetition(crash);

    return {
        add: ({ target, startedAt, at, parts, withdrawn }, now) => {
            if (now - at > CRASH_RETENTION_MILLISECONDS) {
                return undefined;
            }
            const key = startedAt === undefined ? unknownStartKey(target, at, crashes) : `${startedAt} ${target}`;
            const before = crashes.get(key);
            const isWithdrawn = withdrawn === true || before?.withdrawn === true;
            const merged = isWithdrawn ? new Set<string>() : new Set([...before?.parts ?? [], ...parts]);
            const isNews = before === undefined || before.withdrawn !== isWithdrawn
                || before.at - at > SAME_CRASH_MILLISECONDS || [...merged].some(part => !before.parts.has(part));
            const next: KnownCrash = {
                target,
                startedAt,
                at: Math.min(at, before?.at ?? at),
                parts: limitParts(merged),
                withdrawn: isWithdrawn,
                changedAt: isNews ? now : before.changedAt,
            };
            if (!isNews && before.at === next.at) {
                return undefined;
            }
            set(key, next);
            if (crashes.size > MAXIMUM_CRASHES) {
                const oldest = [...crashes].reduce((left, right) => right[1].at < left[1].at ? right : left);
                remove(oldest[0]);
            }
            return isNews ? next : undefined;
        },
        withPart: part => {
            const cached = countedByPart.get(part);
            if (cached !== undefined) {
                return cached;
            }
            const found = [...byPart.get(part) ?? []]
                .flatMap(key => crashes.get(key) ?? [])
                .filter(counts)
                .sort((left, right) => left.at - right.at);
            countedByPart.set(part, found);
            return found;
        },
        all: () => {
            counted ??= known().filter(counts);
            return counted;
        },
        known,
        parts: () => [...byPart.keys()],
        hasPart: part => byPart.has(part),
        prune: now =>
            [...crashes]
                .filter(([, { at }]) => now - at > CRASH_RETENTION_MILLISECONDS)
                .forEach(([key]) => remove(key)),
    };
}

/** Without a start, crashes of a target that are close to each other are one. */
function unknownStartKey(target: string, at: number, crashes: ReadonlyMap<string, KnownCrash>): string {
    const close = [...crashes].find(([, crash]) =>
        crash.target === target && crash.startedAt === undefined && Math.abs(crash.at - at) <= SAME_CRASH_MILLISECONDS
    );
    return close?.[0] ?? `? ${Math.round(at)} ${target}`;
}
