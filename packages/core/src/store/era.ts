/**
 * Era of the platform's store. It rises by one when the store comes back from an older copy, which loses writes that were
 * acknowledged and gives their offsets and generations out again. Nothing that was numbered in one era, such as an offset
 * or a lease, may be used in another one.
 */

/** What one answer of the store states of its era. */
export type EraStatement =
    | { readonly kind: "stated"; readonly era: number; }
    | { readonly kind: "missing"; }
    | { readonly kind: "unreadable"; readonly text: string; };

/** Why a statement of the era is ignored. */
export type IgnoredEraReason = "missing" | "unreadable" | "lower";

/** Statement of the era that is ignored: the known era stays in force. */
export interface IgnoredEra {
    readonly reason: IgnoredEraReason;
    readonly statement: EraStatement;
}

/** Era of the store as its answers state it. */
export interface StoreEra {
    /** Highest era seen; 0 while no answer has stated one. */
    current(): number;
    /**
     * Takes in the statement of an answer whose request was sent while `sentInEra` was known. Returns the era of the answer
     * itself, in which its offsets and generations are valid. An answer that states none counts as one of `sentInEra`.
     */
    observe(statement: EraStatement, sentInEra: number): number;
    /** Number of statements that were ignored. A late answer of an earlier era is not among them. */
    ignoredStatements(): number;
    /** Registers a listener that is called when the era rises, but not for the first era that is stated. */
    onRisen(listener: (era: number, previous: number) => void): void;
    /** Registers a listener for the first statement that is ignored for each reason. */
    onIgnored(listener: (ignored: IgnoredEra) => void): void;
}

/** Generations of one era are below this, so that the tokens of a later era are always higher. */
const GENERATIONS_PER_ERA = 10_000_000;

/** Creates an era that no answer has stated yet. */
export function createStoreEra(): StoreEra {
    let known: number | undefined;
    let ignoredStatements = 0;
    const ignoredReasons = new Set<IgnoredEraReason>();
    const risenListeners: ((era: number, previous: number) => void)[] = [];
    const ignoredListeners: ((ignored: IgnoredEra) => void)[] = [];

    const ignore = (reason: IgnoredEraReason, statement: EraStatement): void => {
        ignoredStatements += 1;
        if (!ignoredReasons.has(reason)) {
            ignoredReasons.add(reason);
            ignoredListeners.forEach(listener => listener({ reason, statement }));
        }
    };
    const raise = (era: number): void => {
        const previous = known;
        known = era;
        if (previous !== undefined) {
            risenListeners.forEach(listener => listener(era, previous));
        }
    };
    return {
        current: () => known ?? 0,
        observe: (statement, sentInEra) => {
            if (statement.kind !== "stated") {
                ignore(statement.kind, statement);
                return sentInEra;
            }
            const { era } = statement;
            if (era < sentInEra) {
                ignore("lower", statement);
            }
            else if (known === undefined || era > known) {
                raise(era);
            }
            return era;
        },
        ignoredStatements: () => ignoredStatements,
        onRisen: listener => void risenListeners.push(listener),
        onIgnored: listener => void ignoredListeners.push(listener),
    };
}

/** Returns a fencing token that is higher than all tokens of earlier eras. */
export function fencingTokenOf(era: number, generation: number): number {
    return era * GENERATIONS_PER_ERA + generation;
}

/** Returns the era in which a token was given out. */
export function eraOf(token: number): number {
    return Math.floor(token / GENERATIONS_PER_ERA);
}

/** Returns the generation of a token in an era; 0, which stands for none, if the token is of another era. */
export function generationOf(token: number, era: number): number {
    return eraOf(token) === era ? token % GENERATIONS_PER_ERA : 0;
}
