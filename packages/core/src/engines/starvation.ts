/** Decides when a model has been without a group for long enough that groups of other models are taken apart for it. */
import type { ModelProfile } from "../routes/types.js";
import { type Fleet, rankReassignments, type Reassignment, starvedModels } from "./reassignment.js";

/** Reassignment that its domain may carry out. */
export interface GrantedReassignment extends Reassignment {
    /** How long the model has had no group in any domain although callers request it. */
    readonly starvedMilliseconds: number;
    /** Whether groups may be taken apart now; until then they are only not opened. */
    readonly due: boolean;
}

/** Returns the model of a reassignment, if there is one and the configuration still has it. */
export function findReassignedModel(
    models: readonly ModelProfile[],
    reassignment: Reassignment | undefined,
): ModelProfile | undefined {
    return models.find(({ name }) => name === reassignment?.model);
}

/** Watch over the models of one service. */
export interface StarvationWatch {
    /** Returns the reassignments of the domains whose turn it is. `now` is in monotonic milliseconds. */
    update(fleet: Fleet, now: number): readonly GrantedReassignment[];
}

/** A group that loses a member is usually formed again within this time. */
export const STARVATION_MILLISECONDS = 3_000;
/** If the best domain has formed no group in this time, the next one tries as well. */
export const DOMAIN_TURN_MILLISECONDS = 30_000;
/** After a longer pause between two updates, nothing is known of the time between them. */
const MAXIMUM_UPDATE_GAP_MILLISECONDS = 1_000;

/** Creates a watch that has seen nothing. */
export function createStarvationWatch(): StarvationWatch {
    let starvedSince: ReadonlyMap<string, number> = new Map();
    let updatedAt = Number.NEGATIVE_INFINITY;
    return {
        update: (fleet, now) => {
            const known = now - updatedAt > MAXIMUM_UPDATE_GAP_MILLISECONDS ? new Map<string, number>() : starvedSince;
            starvedSince = new Map(starvedModels(fleet).map(({ name }) => [name, known.get(name) ?? now]));
            updatedAt = now;
            const ranked = starvedSince.size === 0 ? [] : rankReassignments(fleet);
            const starvedMilliseconds = now - (starvedSince.get(ranked[0]?.model ?? "") ?? now);
            const due = starvedMilliseconds >= STARVATION_MILLISECONDS;
            const turns = due ? (starvedMilliseconds - STARVATION_MILLISECONDS) / DOMAIN_TURN_MILLISECONDS : 0;
            return ranked.slice(0, 1 + Math.floor(turns))
                .map(reassignment => ({ ...reassignment, starvedMilliseconds, due }));
        },
    };
}
