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
export class Crashes {
    private readonly crashes = new Map<string, KnownCrash>();
    /** Keys of the crashes of each part. */
    private readonly byPart = new Map<string, Set<string>>();
    /** Results that hold until a crash is added or removed. */
    private readonly countedByPart = new Map<string, readonly KnownCrash[]>();
    private counted: readonly KnownCrash[] | undefined;

    /** Adds a report of a crash; returns the crash if it holds anything new. */
    add(reported: ReportedCrash, now: number): KnownCrash | undefined {
        const { target, startedAt, at } = reported;
        if (now - at > CRASH_RETENTION_MILLISECONDS) {
            return undefined;
        }
        const key = this.keyOf(reported);
        const before = this.crashes.get(key);
        if (before !== undefined && isKnown(reported, before)) {
            return undefined;
        }
        const withdrawn = reported.withdrawn === true || before?.withdrawn === true;
        const parts = withdrawn
            ? new Set<string>()
            : this.limitParts(new Set([...before?.parts ?? [], ...reported.parts]));
        const isUpdate = before === undefined || before.withdrawn !== withdrawn
            || before.at - at > SAME_CRASH_MILLISECONDS || [...parts].some(part => !before.parts.has(part));
        this.remove(key);
        const crash: KnownCrash = {
            target,
            startedAt,
            at: Math.min(at, before?.at ?? at),
            parts,
            withdrawn,
            changedAt: isUpdate ? now : before.changedAt,
        };
        this.crashes.set(key, crash);
        parts.forEach(part => this.byPart.set(part, (this.byPart.get(part) ?? new Set()).add(key)));
        this.limitCrashes();
        return isUpdate ? crash : undefined;
    }

    /** Returns the crashes with this part, oldest first. */
    withPart(part: string): readonly KnownCrash[] {
        const keys = this.byPart.get(part);
        if (keys === undefined) {
            return [];
        }
        const cached = this.countedByPart.get(part);
        const found = cached ?? this.sort([...keys].flatMap(key => this.crashes.get(key) ?? []));
        this.countedByPart.set(part, found);
        return found;
    }

    /** Returns all crashes that count, oldest first. */
    all(): readonly KnownCrash[] {
        this.counted ??= this.sort([...this.crashes.values()]);
        return this.counted;
    }

    /** Returns all crashes, also those withdrawn. */
    known(): readonly KnownCrash[] {
        return [...this.crashes.values()];
    }

    /** Returns all parts that occur in a crash. */
    parts(): readonly string[] {
        return [...this.byPart.keys()];
    }

    find(target: string, startedAt: number | undefined): KnownCrash | undefined {
        return this.all().findLast(crash => crash.target === target && crash.startedAt === startedAt);
    }

    prune(now: number): void {
        [...this.crashes]
            .filter(([, { at }]) => now - at > CRASH_RETENTION_MILLISECONDS)
            .forEach(([key]) => this.remove(key));
    }

    private sort(crashes: readonly KnownCrash[]): readonly KnownCrash[] {
        return crashes.filter(crash => !crash.withdrawn && !this.isRepetition(crash))
            .sort((left, right) => left.at - right.at);
    }

    /** A crash without a start is the same as one with a start that is close to it. */
    private isRepetition({ target, startedAt, at }: KnownCrash): boolean {
        return startedAt === undefined
            && [...this.crashes.values()].some(other =>
                other.target === target && other.startedAt !== undefined && isClose(other.at, at)
            );
    }

    /** Without a start, crashes of a target that are close to each other are one. */
    private keyOf({ target, startedAt, at }: ReportedCrash): string {
        if (startedAt !== undefined) {
            return `${startedAt} ${target}`;
        }
        const close = [...this.crashes].find(([, crash]) =>
            crash.target === target && crash.startedAt === undefined && isClose(crash.at, at)
        );
        return close?.[0] ?? `? ${at} ${target}`;
    }

    /** Keeps the parts that occur in another crash, then others in an order that is the same for all daemons. */
    private limitParts(parts: ReadonlySet<string>): ReadonlySet<string> {
        if (parts.size <= MAXIMUM_PARTS_OF_CRASH) {
            return parts;
        }
        const sorted = [...parts].sort();
        const isRepeated = (part: string): boolean => this.byPart.has(part);
        const chosen = [...sorted.filter(isRepeated), ...sorted.filter(part => !isRepeated(part))];
        return new Set(chosen.slice(0, MAXIMUM_PARTS_OF_CRASH));
    }

    private limitCrashes(): void {
        if (this.crashes.size > MAXIMUM_CRASHES) {
            const [key] = [...this.crashes].reduce((left, right) => right[1].at < left[1].at ? right : left);
            this.remove(key);
        }
    }

    private remove(key: string): void {
        this.crashes.get(key)?.parts.forEach(part => {
            const keys = this.byPart.get(part);
            keys?.delete(key);
            if (keys?.size === 0) {
                this.byPart.delete(part);
            }
        });
        this.crashes.delete(key);
        this.countedByPart.clear();
        this.counted = undefined;
    }
}

function isKnown({ at, parts, withdrawn }: ReportedCrash, known: KnownCrash): boolean {
    return at >= known.at && (known.withdrawn || withdrawn !== true && parts.every(part => known.parts.has(part)));
}

function isClose(left: number, right: number): boolean {
    return Math.abs(left - right) <= SAME_CRASH_MILLISECONDS;
}
