/** Decides whether a request is served now, waits in this daemon, or is refused. */

/** Input of one decision. Times are in milliseconds. */
export interface AdmissionInput {
    /** Chance of admission of this request, from 0 to 1. */
    readonly chance: number;
    /** Random number from 0 to below 1, drawn once for each request, so that asking again does not raise its chance. */
    readonly draw: number;
    /** Expected time to the first event if it is sent now; `undefined` if no group has a free slot. */
    readonly firstEventMilliseconds?: number;
    /** Expected time until capacity is there for this request if it is not now. */
    readonly capacityMilliseconds: number;
    /** Time until the first event is late. */
    readonly objectiveLeftMilliseconds: number;
    /** Time until the caller leaves. */
    readonly deadlineLeftMilliseconds: number;
    /** Time for which the request may still wait here. */
    readonly waitLeftMilliseconds: number;
    /** Least time to a first event at an idle group. */
    readonly leastFirstEventMilliseconds: number;
}

/** Why a request is refused. */
export type ShedReason = "too-late" | "capacity" | "no-slot";

/** What is done with a request. */
export type SheddingDecision =
    | { readonly kind: "serve"; }
    /** It is decided again when the load changes, and at the latest after this time. */
    | { readonly kind: "wait"; readonly milliseconds: number; }
    | { readonly kind: "refuse"; readonly reason: ShedReason; };

/**
 * Decides on one request. A first event within the objective has the full value, a later one a part of it until the
 * deadline, none afterwards. While there is room for all, a late request is served; while capacity is short, it would take
 * the place of one that can be in time. A request waits only if it can still be in time after it.
 */
export function decideAdmission(input: AdmissionInput): SheddingDecision {
    const { chance, draw, firstEventMilliseconds, objectiveLeftMilliseconds, deadlineLeftMilliseconds } = input;
    if (input.leastFirstEventMilliseconds > deadlineLeftMilliseconds) {
        return { kind: "refuse", reason: "too-late" };
    }
    if (draw < chance && firstEventMilliseconds !== undefined) {
        const isInTime = firstEventMilliseconds <= objectiveLeftMilliseconds;
        if (isInTime || (chance >= 1 && firstEventMilliseconds <= deadlineLeftMilliseconds)) {
            return { kind: "serve" };
        }
    }
    const wait = Math.min(
        input.waitLeftMilliseconds,
        objectiveLeftMilliseconds - input.leastFirstEventMilliseconds,
        deadlineLeftMilliseconds - input.leastFirstEventMilliseconds,
    );
    if (wait > 0 && input.capacityMilliseconds <= wait) {
        return { kind: "wait", milliseconds: wait };
    }
    return { kind: "refuse", reason: firstEventMilliseconds === undefined ? "no-slot" : "capacity" };
}
