/**
 * Era of the platform's store. It rises by one when the store comes back from an older copy, which loses writes that were
 * acknowledged and gives their offsets and generations out again. Nothing that was numbered in one era, such as an offset
 * or a lease, may be used in another one.
 */

/** What one answer of the store says about its era. */
export type EraObservation =
    | { readonly kind: "same"; }
    | { readonly kind: "risen"; readonly era: number; readonly previous: number; }
    /** The era is missing, lower than one seen before, or no number. The known era stays in force. */
    | { readonly kind: "ignored"; readonly text: string | undefined; };

/** Era of the store as its answers state it. */
export interface StoreEra {
    /** Highest era seen; 0 while no answer has stated one. */
    current(): number;
    observe(text: string | undefined): EraObservation;
    /** Registers a listener that is called when the era rises, but not for the first era that is stated. */
    onRisen(listener: (era: number, previous: number) => void): void;
    /** Registers a listener for the first answer of each kind that is ignored. */
    onIgnored(listener: (text: string | undefined) => void): void;
}

const WHOLE_NUMBER = /^\d{1,9}$/;
/** Generations of one era are below this, so that the tokens of a later era are always higher. */
const GENERATIONS_PER_ERA = 10_000_000;

/** Creates an era that no answer has stated yet. */
export function createStoreEra(): StoreEra {
    let known: number | undefined;
    const ignored = new Set<string | undefined>();
    const risenListeners: ((era: number, previous: number) => void)[] = [];
    const ignoredListeners: ((text: string | undefined) => void)[] = [];

    const ignore = (text: string | undefined): EraObservation => {
        if (known !== undefined && !ignored.has(text)) {
            ignored.add(text);
            ignoredListeners.forEach(listener => listener(text));
        }
        return { kind: "ignored", text };
    };
    return {
        current: () => known ?? 0,
        observe: text => {
            const era = text !== undefined && WHOLE_NUMBER.test(text) ? Number(text) : undefined;
            if (era === undefined || era < (known ?? 0)) {
                return ignore(text);
            }
            const previous = known;
            known = era;
            if (previous === undefined || previous === era) {
                return { kind: "same" };
            }
            risenListeners.forEach(listener => listener(era, previous));
            return { kind: "risen", era, previous };
        },
        onRisen: listener => void risenListeners.push(listener),
        onIgnored: listener => void ignoredListeners.push(listener),
    };
}

/** Returns a fencing token that is higher than all tokens of earlier eras. */
export function fencingTokenOf(era: number, generation: number): number {
    return era * GENERATIONS_PER_ERA + generation;
}

/** Returns the generation of a token in an era; 0, which stands for none, if the token is of another era. */
export function generationOf(token: number, era: number): number {
    return Math.floor(token / GENERATIONS_PER_ERA) === era ? token % GENERATIONS_PER_ERA : 0;
}
