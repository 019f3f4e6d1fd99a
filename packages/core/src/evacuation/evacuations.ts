/**
 * Evacuated data centres, whose targets get no requests. Statements reach a daemon in any order, from the log or from other
 * daemons; the one with the latest position in the log holds.
 */

/** Position in the operators' log. Offsets are given out anew in each era of the store. */
export interface LogPosition {
    readonly era: number;
    readonly offset: number;
}

/** State of one data centre at a position of the log. */
export interface EvacuationStatement extends LogPosition {
    readonly dataCentre: string;
    readonly evacuated: boolean;
}

/** Known evacuations. */
export interface Evacuations {
    /**
     * Takes a statement over unless a later one is known, or a later read of all evacuations lacked its data centre; returns
     * whether the state of the data centre changed.
     */
    merge(statement: EvacuationStatement): boolean;
    /**
     * Takes over a read of all evacuations at a position: the others that were known before it have ended. Returns the
     * statements that changed the state of a data centre.
     */
    replaceAll(evacuated: readonly string[], position: LogPosition): readonly EvacuationStatement[];
    isEvacuated(dataCentre: string): boolean;
    /** Returns the evacuated data centres, in the order of their names. */
    dataCentres(): readonly string[];
    /**
     * Returns what is known, for other daemons; the same array until something changes. Evacuations that ended are included.
     * Of many, the latest are returned; names that are too long for a data centre are left out.
     */
    statements(): readonly EvacuationStatement[];
}

/** Ended evacuations that are kept and passed on. The names of data centres are free text in the log. */
const MAXIMUM_ENDED = 32;
/**
 * Statements that are passed on, and the length of their names. Each message between daemons contains them, and has to fit into
 * a datagram of 65,507 bytes with what else it states.
 */
const MAXIMUM_PASSED_ON = 64;
const MAXIMUM_NAME_LENGTH = 100;

/** Creates an empty collection. */
export function createEvacuations(): Evacuations {
    const known = new Map<string, EvacuationStatement>();
    /** Position of the latest read of all evacuations; at it, data centres of which nothing is known are not evacuated. */
    let readTo: LogPosition | undefined;
    /** What is passed on, until something changes. */
    let passedOn: readonly EvacuationStatement[] | undefined;

    const isEvacuated = (dataCentre: string): boolean => known.get(dataCentre)?.evacuated === true;
    const dropOldestEnded = (): void => {
        [...known.values()]
            .filter(({ evacuated }) => !evacuated)
            .sort((left, right) => comparePositions(right, left))
            .slice(MAXIMUM_ENDED)
            .forEach(({ dataCentre }) => known.delete(dataCentre));
    };
    const merge = (statement: EvacuationStatement): boolean => {
        const { dataCentre, evacuated } = statement;
        const before = known.get(dataCentre) ?? readTo;
        if (before !== undefined && comparePositions(statement, before) <= 0) {
            return false;
        }
        const wasEvacuated = isEvacuated(dataCentre);
        known.set(dataCentre, statement);
        passedOn = undefined;
        dropOldestEnded();
        return wasEvacuated !== evacuated;
    };
    return {
        merge,
        replaceAll: (evacuated, position) => {
            const { era, offset } = position;
            const ended = [...known.keys()].filter(dataCentre => !evacuated.includes(dataCentre));
            const changes = [
                ...evacuated.map(dataCentre => ({ dataCentre, evacuated: true, era, offset })),
                ...ended.map(dataCentre => ({ dataCentre, evacuated: false, era, offset })),
            ].filter(merge);
            readTo = readTo === undefined || comparePositions(position, readTo) > 0 ? position : readTo;
            return changes;
        },
        isEvacuated,
        dataCentres: () => [...known.keys()].filter(isEvacuated).sort(),
        statements: () => passedOn ??= statementsToPassOn([...known.values()]),
    };
}

function statementsToPassOn(known: readonly EvacuationStatement[]): readonly EvacuationStatement[] {
    return known.filter(({ dataCentre }) => dataCentre.length <= MAXIMUM_NAME_LENGTH)
        .sort((left, right) => comparePositions(right, left))
        .slice(0, MAXIMUM_PASSED_ON);
}

/** Returns a positive number if the first position is later, a negative one if it is earlier, otherwise 0. */
function comparePositions(left: LogPosition, right: LogPosition): number {
    return left.era === right.era ? left.offset - right.offset : left.era - right.era;
}
