/**
 * Quarantine of prompt parts that crash the processes of targets.
 *
 * Decisions follow from facts that all daemons merge: the union of the crashes and the newest proof of each part. The
 * order in which a daemon learns them doesn't matter. A part is never blamed for crashes before its last proof.
 */
import { type BlameTest, countCrashes, countSpaced } from "./blame.js";
import {
    CRASH_RETENTION_MILLISECONDS,
    MAXIMUM_STATEMENTS,
    MINIMUM_RETRY_MILLISECONDS,
    NO_TRIAL_RETRY_MILLISECONDS,
    OTHER_CRASHES_MILLISECONDS,
    PROOF_MARGIN_MILLISECONDS,
    PROOF_MILLISECONDS,
    PROOF_RETENTION_MILLISECONDS,
    RETRY_SPREAD,
    STATEMENT_RETENTION_MILLISECONDS,
} from "./constants.js";
import { createCrashes, type KnownCrash } from "./crashes.js";
import { createProofs } from "./proofs.js";
import { createReporter, type KnownStatement } from "./reports.js";
import { mergeStatements, nextRevision, nextTrialAt } from "./statements.js";
import type { PartQuarantine, PartStatement, PartVerdict, ReportedCrash } from "./types.js";

/** Evidence against a part that is not quarantined. */
interface Suspect {
    readonly part: string;
    readonly crashes: readonly KnownCrash[];
    readonly wasProven: boolean;
}

const GOLDEN_RATIO_FRACTION = 0.618_033_988_75;

/** Creates an empty quarantine. `test` decides when the evidence against a part suffices. */
export function createPartQuarantine({ test = countCrashes }: { readonly test?: BlameTest; } = {}): PartQuarantine {
    const crashes = createCrashes();
    const proofs = createProofs();
    const reporter = createReporter();
    const statements = new Map<string, KnownStatement>();
    /** Parts that are to be blamed at a time unless they are proven before. */
    const waiting = new Map<string, number>();
    let refusals = 0;

    const find = (part: string): PartStatement | undefined => statements.get(part)?.statement;
    const isQuarantined = (part: string): boolean => find(part)?.state === "quarantined";

    const store = (statement: PartStatement, now: number): PartStatement => {
        statements.set(statement.part, { statement, changedAt: now });
        waiting.delete(statement.part);
        if (statements.size > MAXIMUM_STATEMENTS) {
            const rank = ({ statement: { state, statedAt } }: KnownStatement): number =>
                statedAt + (state === "quarantined" ? STATEMENT_RETENTION_MILLISECONDS : 0);
            const [dropped] = [...statements.values()].sort((left, right) => rank(left) - rank(right));
            statements.delete(dropped?.statement.part ?? "");
        }
        return statement;
    };

    /** Returns the time up to which crashes say nothing about a part. */
    const clearedAt = (part: string): number => {
        const statement = find(part);
        const releasedAt = statement?.state === "released" ? statement.statedAt : Number.NEGATIVE_INFINITY;
        return Math.max(releasedAt, proofs.lastAt(part) - PROOF_MARGIN_MILLISECONDS);
    };

    /** Returns the crashes that count against a part if others have to answer for theirs. */
    const countedCrashes = (part: string): readonly KnownCrash[] => {
        const cleared = clearedAt(part);
        return crashes.withPart(part).filter(({ at }) => at > cleared);
    };

    /** Whether a quarantined part other than `part` accounts for the crash. */
    const isExplained = (crash: KnownCrash, part: string): boolean =>
        [...statements.values()].some(({ statement: { part: other, state } }) =>
            state === "quarantined" && other !== part && crash.parts.has(other) && crash.at > clearedAt(other)
        );

    const suspectOf = (part: string): Suspect => {
        const counted = countedCrashes(part).filter(crash => !isExplained(crash, part));
        const first = counted[0]?.at ?? 0;
        return { part, crashes: counted, wasProven: first - proofs.lastAt(part) < PROOF_RETENTION_MILLISECONDS };
    };

    const countOthers = ({ part, crashes: own }: Suspect): number => {
        const from = (own.at(-1)?.at ?? 0) - OTHER_CRASHES_MILLISECONDS;
        return crashes.all()
            .filter(crash => crash.at > from && !crash.parts.has(part) && !isExplained(crash, part))
            .length;
    };

    /** Parts that were candidates in all crashes of the suspect. */
    const rivalsOf = ({ part, crashes: [first, ...others] }: Suspect): readonly Suspect[] =>
        [...first?.parts ?? []]
            .filter(other => other !== part && others.every(crash => crash.parts.has(other)))
            .map(suspectOf);

    /** Returns when the suspect is to be blamed by what is known. */
    const blameAt = (suspect: Suspect, now: number): number => {
        const rivals = rivalsOf(suspect)
            .filter(rival => rival.crashes.length >= suspect.crashes.length)
            .filter(rival => suspect.wasProven || !rival.wasProven);
        const isPreceded = rivals.some(rival =>
            rival.wasProven !== suspect.wasProven || rival.crashes.length > suspect.crashes.length
        );
        return isPreceded ? Number.POSITIVE_INFINITY : test({
            crashTimes: suspect.crashes.map(({ at }) => at),
            otherCrashes: countOthers(suspect),
            wasProven: suspect.wasProven,
            isAmbiguous: rivals.length > 0,
            now,
        });
    };

    const blame = ({ part, crashes: counted, wasProven }: Suspect, now: number): PartStatement =>
        store({
            part,
            revision: nextRevision(find(part), "crashes"),
            state: "quarantined",
            statedAt: now,
            crashes: counted.length,
            cause: "crashes",
            trials: 0,
            wasProven,
        }, now);

    /** Blames parts as far as the evidence suffices. A part that is blamed can account for the crashes of others. */
    const evaluate = (parts: Iterable<string>, now: number): readonly PartStatement[] => {
        const suspects = [...new Set(parts)]
            .filter(part => !isQuarantined(part))
            .map(suspectOf)
            .filter(({ crashes: counted }) => counted.length > 1)
            .map(suspect => ({ suspect, at: blameAt(suspect, now) }));
        suspects.forEach(({ suspect, at }) => {
            if (Number.isFinite(at) && at > now) {
                waiting.set(suspect.part, at);
            }
            else {
                waiting.delete(suspect.part);
            }
        });
        return suspects.filter(({ at }) => at <= now).map(({ suspect }) => blame(suspect, now));
    };

    /** States a quarantined part anew if it met further crashes. */
    const countFurther = (part: string, now: number): readonly PartStatement[] => {
        const before = find(part);
        if (before?.state !== "quarantined") {
            return [];
        }
        const counted = countedCrashes(part);
        const later = counted.filter(({ at }) => at > before.statedAt + PROOF_MARGIN_MILLISECONDS).length;
        const count = Math.max(counted.length, before.crashes + later);
        if (count <= before.crashes) {
            return [];
        }
        const { trialAt } = before;
        const hasFailed = trialAt !== undefined && counted.some(({ at }) => at > trialAt);
        const cause = hasFailed || before.cause === "trial-failed" ? "trial-failed" : "crashes";
        const revision = nextRevision(before, cause);
        return [store({ ...before, revision, statedAt: now, crashes: count, cause, trialAt: undefined }, now)];
    };

    /** Releases a quarantined part if a stream of this daemon began well after the last crash. */
    const releaseProven = (part: string, now: number): readonly PartStatement[] => {
        const before = find(part);
        if (before?.state !== "quarantined") {
            return [];
        }
        const known = crashes.withPart(part);
        const last = known.length >= before.crashes ? known.at(-1)?.at ?? before.statedAt : before.statedAt;
        return proofs.lastOwnAt(part) > last + PROOF_MARGIN_MILLISECONDS
            ? [release(before, "trial-passed", now)]
            : [];
    };

    const release = (before: PartStatement, cause: PartStatement["cause"], now: number): PartStatement =>
        store({
            part: before.part,
            revision: nextRevision(before, cause),
            state: "released",
            statedAt: now,
            crashes: before.crashes,
            cause,
            trials: before.trials,
            wasProven: before.wasProven,
        }, now);

    /** Adds crashes; returns the parts that they concern. */
    const addCrashes = (added: readonly ReportedCrash[], now: number): ReadonlySet<string> =>
        new Set(added.flatMap(crash => {
            const news = crashes.add(crash, now);
            // Other suspects may need more crashes or fewer now, which matters only from their next crash on.
            return news === undefined ? [] : [...news.parts];
        }));

    const withdraw = (crash: KnownCrash, now: number): readonly PartStatement[] => {
        const affected = [...crash.parts].filter(part => {
            const before = find(part);
            return before?.state === "quarantined" && before.cause === "crashes"
                && countedCrashes(part).length >= before.crashes;
        });
        crashes.add({ ...crash, parts: [], withdrawn: true }, now);
        return affected
            .filter(part => countSpaced(countedCrashes(part).map(({ at }) => at)) < 2)
            .flatMap(part => {
                const before = find(part);
                return before === undefined ? [] : [release(before, "crashes", now)];
            });
    };

    const findCrash = (target: string, startedAt: number | undefined): KnownCrash | undefined =>
        crashes.all().findLast(crash => crash.target === target && crash.startedAt === startedAt);

    const advance = (now: number): readonly PartStatement[] => {
        const due = [...waiting].filter(([, at]) => at <= now).map(([part]) => part);
        return due.length === 0 ? [] : evaluate(due, now);
    };

    const adopt = (told: PartStatement, now: number): readonly PartStatement[] => {
        const retention = told.state === "quarantined"
            ? STATEMENT_RETENTION_MILLISECONDS
            : CRASH_RETENTION_MILLISECONDS;
        if (now - told.statedAt > retention) {
            return [];
        }
        const before = find(told.part);
        const merged = before === undefined ? told : mergeStatements(before, told);
        if (before !== undefined && merged.revision === before.revision && merged.state === before.state) {
            // The same decision: only its times are made exact.
            const changedAt = statements.get(told.part)?.changedAt ?? now;
            statements.set(told.part, { statement: merged, changedAt });
            return [];
        }
        return merged === before ? [] : [store(merged, now)];
    };

    const prune = (now: number): void => {
        crashes.prune(now);
        [...statements.values()]
            .filter(({ statement: { state, statedAt } }) =>
                now - statedAt
                    > (state === "quarantined" ? STATEMENT_RETENTION_MILLISECONDS : CRASH_RETENTION_MILLISECONDS)
            )
            .forEach(({ statement: { part } }) => statements.delete(part));
    };

    const startTrial = (before: PartStatement, now: number): void => {
        const revision = nextRevision(before, before.cause);
        store({ ...before, revision, trials: before.trials + 1, trialAt: now }, now);
    };

    const refuse = (part: string, trialAt: number, now: number): PartVerdict => {
        refusals += 1;
        const wait = Number.isFinite(trialAt) ? trialAt - now : NO_TRIAL_RETRY_MILLISECONDS;
        const spread = 1 + RETRY_SPREAD * (refusals * GOLDEN_RATIO_FRACTION % 1);
        return {
            kind: "refused",
            part,
            retryAfterMilliseconds: Math.ceil(Math.max(wait, MINIMUM_RETRY_MILLISECONDS) * spread),
        };
    };

    return {
        recordProven: (parts, now, firstEventAt = now - PROOF_MILLISECONDS) => {
            const proven = parts.filter(part => {
                const before = clearedAt(part);
                const isNewest = proofs.record(part, firstEventAt, "own");
                return isNewest && crashes.hasPart(part) && crashes.withPart(part).some(({ at }) => at > before)
                    || isQuarantined(part);
            });
            const concerned = proven.flatMap(part => crashes.withPart(part).flatMap(crash => [...crash.parts]));
            return proven.length === 0
                ? []
                : [...proven.flatMap(part => releaseProven(part, now)), ...evaluate(concerned, now)];
        },
        recordCrash: (crash, now) => {
            const concerned = addCrashes([{ ...crash, at: now }], now);
            return [...[...concerned].flatMap(part => countFurther(part, now)), ...evaluate(concerned, now)];
        },
        withdrawCrash: (target, startedAt, now) => {
            const crash = findCrash(target, startedAt);
            return crash === undefined ? [] : withdraw(crash, now);
        },
        check: (parts, mayTry, now) => {
            if (waiting.size > 0) {
                advance(now);
            }
            const refused = parts.flatMap(part => {
                const statement = find(part);
                return statement?.state === "quarantined" ? { statement, trialAt: nextTrialAt(statement) } : [];
            });
            const last = refused.reduce<typeof refused[number] | undefined>(
                (left, right) => left !== undefined && left.trialAt >= right.trialAt ? left : right,
                undefined,
            );
            if (last === undefined) {
                return { kind: "allowed" };
            }
            const { statement: { part }, trialAt } = last;
            if (trialAt <= now && mayTry(part)) {
                refused.forEach(({ statement }) => startTrial(statement, now));
                return { kind: "trial", part };
            }
            // Asked for: states the decision anew, so that no daemon forgets it.
            refused.filter(({ statement: { statedAt } }) => now - statedAt > STATEMENT_RETENTION_MILLISECONDS / 2)
                .forEach(({ statement }) =>
                    store({ ...statement, revision: nextRevision(statement, statement.cause), statedAt: now }, now)
                );
            return refuse(part, trialAt, now);
        },
        release: (part, now) => {
            const before = find(part);
            return before?.state === "quarantined" ? release(before, "operator", now) : undefined;
        },
        advance,
        report: now => {
            prune(now);
            return reporter.report(crashes, proofs, [...statements.values()], now);
        },
        merge: ({ crashes: told, proven, statements: stated }, now) => {
            const withdrawn = told.filter(crash => crash.withdrawn === true)
                .flatMap(({ target, startedAt }) => findCrash(target, startedAt) ?? [])
                .flatMap(crash => withdraw(crash, now));
            const concerned = addCrashes(told, now);
            const cleared = proven.filter(({ part, at }) => {
                const before = clearedAt(part);
                return proofs.record(part, at, "told") && crashes.withPart(part).some(crash => crash.at > before);
            }).flatMap(({ part }) => crashes.withPart(part).flatMap(crash => [...crash.parts]));
            const adopted = stated.flatMap(statement => adopt(statement, now));
            return [
                ...withdrawn,
                ...adopted,
                ...adopted.flatMap(({ part }) => releaseProven(part, now)),
                ...[...concerned].flatMap(part => countFurther(part, now)),
                ...evaluate([...concerned, ...cleared], now),
            ];
        },
        quarantined: () =>
            [...statements.values()].map(({ statement }) => statement).filter(({ state }) => state === "quarantined"),
    };
}
