/** Types of the generic fold of a log stream. */
import type { z } from "zod";
import type { Issue } from "../issue.js";
import type { Author } from "./record.js";

/** Metadata of a record that a fold may use. `time` is the platform's append time in milliseconds. */
export interface RecordContext {
    readonly offset: number;
    readonly time: number;
    readonly id: string;
    readonly author: Author;
}

/** Result of applying one record to a state. */
export type RecordResult<State> =
    | { readonly kind: "accepted"; readonly state: State; }
    | { readonly kind: "rejected"; readonly issue: Issue; };

/** Fold of one kind of stream. `apply` is pure: the same state and record give the same result on every daemon. */
export interface FoldDefinition<State, Body> {
    readonly name: string;
    readonly body: z.ZodType<Body>;
    readonly state: z.ZodType<State>;
    initial(): State;
    apply(state: State, body: Body, context: RecordContext): RecordResult<State>;
}

/** Decision on a record, retained for `BASIS_WINDOW` offsets after it. */
export interface Decision {
    readonly offset: number;
    readonly accepted: boolean;
    readonly issue?: Issue;
}

/** Why a fold stopped. Nothing from `offset` on is applied until a daemon version that supports the record runs. */
export interface Halt {
    readonly offset: number;
    readonly issue: Issue;
}

/** State of a stream after all entries below `nextOffset`. */
export interface FoldState<State> {
    readonly nextOffset: number;
    readonly state: State;
    readonly decisions: ReadonlyMap<string, Decision>;
    readonly halted?: Halt;
}

/** Result kind of applying one entry. `past` means that the offset has already been applied. */
export type EntryResultKind =
    | "accepted"
    | "rejected"
    | "duplicate"
    | "stale-basis"
    | "malformed"
    | "past"
    | "gap"
    | "halted";

/** Result of applying one entry. */
export interface EntryResult<State> {
    readonly kind: EntryResultKind;
    readonly folded: FoldState<State>;
    readonly issue?: Issue;
}
