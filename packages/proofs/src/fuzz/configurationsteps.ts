/** Steps of the fuzz module of the table. */
import fc from "fast-check";
import { daemonNames } from "./world/daemon.js";
import { linkFaults } from "./world/platform.js";

/** More entries than the decision window holds. */
const NOISE_ENTRIES = 4_200;

const daemon = fc.constantFrom(...daemonNames);
const rowName = fc.constantFrom("one", "two");
const edit = fc.record({ daemon, row: rowName, weight: fc.integer({ min: 1, max: 9 }), remove: fc.boolean() });

/** Steps of a scenario. */
export const stepArbitrary = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("edits" as const),
            edits: fc.array(edit, { minLength: 1, maxLength: 3 }),
        }),
    },
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            milliseconds: fc.integer({ min: 5, max: 4_000 }),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({ kind: fc.constant("fault" as const), daemon, fault: fc.constantFrom(...linkFaults) }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("cutOff" as const), daemon, isCutOff: fc.boolean() }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("restart" as const), daemon }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("retention" as const),
            keep: fc.integer({ min: 0, max: 4 }),
            snapshots: fc.boolean(),
        }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("repeat" as const), record: fc.nat(50) }) },
    { weight: 1, arbitrary: fc.constant({ kind: "deliver" as const }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("oldSnapshot" as const),
            snapshot: fc.nat(50),
            damage: fc.constantFrom("none", "cut", "corrupt"),
            restart: fc.option(daemon, { nil: undefined }),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("noise" as const), entries: fc.constantFrom(1, 3, NOISE_ENTRIES) }),
    },
    { weight: 1, arbitrary: fc.constant({ kind: "unknown" as const }) },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("behind" as const),
            daemon,
            edits: fc.array(edit, { minLength: 1, maxLength: 4 }),
            keep: fc.integer({ min: 0, max: 2 }),
            restartOthers: fc.boolean(),
        }),
    },
);

/** Step of a scenario. */
export type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;
/** Step of one kind. */
export type StepOf<Kind extends Step["kind"]> = Extract<Step, { kind: Kind; }>;
