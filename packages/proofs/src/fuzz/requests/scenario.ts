/** Scenarios of the request fuzz module: requests, target faults, pauses, edits and disconnects in any order. */
import fc from "fast-check";

/** How a target treats one attempt. */
export type Behaviour =
    | "complete"
    | "slow"
    | "not-sent"
    | "refused"
    /** Written and not executed; the connection breaks. */
    | "lost"
    /** Executed; the connection breaks. */
    | "broken"
    /** The connection breaks; executed later. */
    | "broken-late"
    /** Executed without an answer. */
    | "silent"
    | "failed"
    /** The connection breaks within a stream; the stream can be resumed. */
    | "partial"
    /** The connection breaks within a stream; the target no longer has the rest. */
    | "partial-lost";

/** One request of a caller. */
export interface SubmitStep {
    readonly kind: "submit";
    readonly daemon: number;
    readonly route: "whole" | "stream" | "repeatable" | "once";
    /** Index of the idempotency key, if the request has one. */
    readonly key?: number;
    readonly body: number;
    readonly deadlineMilliseconds: number;
    readonly behaviours: readonly Behaviour[];
    /** Time until the connection is established. */
    readonly connectMilliseconds: number;
}

/** One step of a scenario. Times in milliseconds. */
export type Step =
    | SubmitStep
    | { readonly kind: "advance"; readonly milliseconds: number; }
    /** The clock advances without firing timers, as when the process is suspended. */
    | { readonly kind: "pause"; readonly milliseconds: number; }
    | { readonly kind: "disconnect"; readonly request: number; }
    | { readonly kind: "group"; readonly group: number; readonly dispatchable: boolean; }
    | { readonly kind: "service"; readonly draining: boolean; }
    | { readonly kind: "claims"; readonly state: "up" | "refusing" | "losing-answers"; }
    | { readonly kind: "cut"; readonly daemon: number; };

const behaviour = fc.constantFrom<Behaviour>(
    "complete",
    "slow",
    "not-sent",
    "refused",
    "lost",
    "broken",
    "broken-late",
    "silent",
    "failed",
    "partial",
    "partial-lost",
);
const milliseconds = fc.constantFrom(1, 20, 150, 400, 1_200, 6_000);
const daemon = fc.constantFrom(0, 1);

const submit: fc.Arbitrary<Step> = fc.record({
    kind: fc.constant("submit" as const),
    daemon,
    route: fc.constantFrom(
        "whole" as const,
        "stream" as const,
        "repeatable" as const,
        "once" as const,
        "once" as const,
    ),
    key: fc.option(fc.integer({ min: 0, max: 2 }), { nil: undefined }),
    body: fc.constantFrom(0, 0, 0, 1),
    deadlineMilliseconds: fc.constantFrom(100, 500, 3_000, 20_000),
    behaviours: fc.array(behaviour, { maxLength: 4 }),
    connectMilliseconds: fc.constantFrom(0, 5, 200),
});

const other: fc.Arbitrary<Step> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("advance" as const), milliseconds }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("pause" as const), milliseconds }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("disconnect" as const), request: fc.nat({ max: 12 }) }) },
    {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("group" as const), group: daemon, dispatchable: fc.boolean() }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("service" as const), draining: fc.boolean() }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("claims" as const),
            state: fc.constantFrom("up" as const, "refusing" as const, "losing-answers" as const),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("cut" as const), daemon }) },
);

/** Scenarios of up to 30 steps. */
export const scenarios: fc.Arbitrary<readonly Step[]> = fc.array(
    fc.oneof({ weight: 1, arbitrary: submit }, { weight: 1, arbitrary: other }),
    { minLength: 1, maxLength: 30 },
);
