/**
 * Snapshots of a stream's fold state. A snapshot contains the window of decisions as well as the state. Without them, a
 * new reader would accept a duplicate record that the other daemons drop.
 */
import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import { type Issue, issue, issueSchema, issuesFromZod } from "../issue.js";
import { canonicalPieces, sha256Hex } from "./canonical.js";
import type { FoldDefinition, FoldState } from "./types.js";
import { DecisionWindow } from "./window.js";

/** Version of the snapshot text that this code writes and reads. */
export const SNAPSHOT_VERSION = 1;

/** Length of the text that is encoded in one step, in characters. */
const STEP_LENGTH_CHARACTERS = 32 * 1024;

/** Schema of a snapshot. `text` is canonical JSON and `sha256` is its hash in hex. */
export const snapshotSchema = z.object({
    version: z.literal(SNAPSHOT_VERSION),
    stream: z.string().min(1),
    nextOffset: z.number().int().nonnegative(),
    sha256: z.string().length(64),
    text: z.string(),
});

/** Snapshot of a stream after all entries below `nextOffset`. */
export type Snapshot = z.infer<typeof snapshotSchema>;

const decisionSchema = z.object({
    offset: z.number().int().nonnegative(),
    accepted: z.boolean(),
    issue: issueSchema.optional(),
});

const contentSchema = z.object({
    stream: z.string(),
    nextOffset: z.number().int().nonnegative(),
    state: z.unknown(),
    decisions: z.array(z.tuple([z.string(), decisionSchema])),
});

/** Encodes the state of the stream `stream`. A halt is not included, because each reader detects it by itself. */
export function encodeSnapshot<State>(stream: string, folded: FoldState<State>): Snapshot {
    const steps = encodeSnapshotSteps(stream, folded);
    for (let step = steps.next();; step = steps.next()) {
        if (step.done === true) {
            return step.value;
        }
    }
}

/** Encodes like `encodeSnapshot`, in steps of about one millisecond. The caller decides when to run the next step. */
export function* encodeSnapshotSteps<State>(stream: string, folded: FoldState<State>): Generator<undefined, Snapshot> {
    const { nextOffset, state } = folded;
    const hash = createHash("sha256");
    const pieces: string[] = [];
    let length = 0;
    for (const piece of canonicalPieces({ stream, nextOffset, state, decisions: [...folded.decisions] })) {
        hash.update(piece);
        pieces.push(piece);
        length += piece.length;
        if (length >= STEP_LENGTH_CHARACTERS) {
            length = 0;
            yield undefined;
        }
    }
    return { version: SNAPSHOT_VERSION, stream, nextOffset, sha256: hash.digest("hex"), text: pieces.join("") };
}

/**
 * Decodes a snapshot of the stream `stream` and verifies its hash. A state that this version cannot represent exactly
 * (it encodes to a different text) is rejected, because daemons would otherwise differ at the same offset.
 */
export function decodeSnapshot<State, Body>(
    definition: FoldDefinition<State, Body>,
    stream: string,
    value: unknown,
): Result<FoldState<State>, Issue> {
    const snapshot = snapshotSchema.safeParse(value);
    if (!snapshot.success) {
        return Err(firstIssue(snapshot.error));
    }
    const { text, sha256, nextOffset } = snapshot.data;
    if (sha256Hex(text) !== sha256) {
        return Err(issue("snapshot_corrupt", ["sha256"], "hash does not match the text"));
    }
    const content = contentSchema.safeParse(parseJson(text));
    if (!content.success) {
        return Err(firstIssue(content.error));
    }
    if (content.data.stream !== stream || content.data.nextOffset !== nextOffset) {
        return Err(issue("snapshot_foreign", ["stream"], `is of stream ${content.data.stream}, not of ${stream}`));
    }
    const state = definition.state.safeParse(content.data.state);
    if (!state.success) {
        return Err(firstIssue(state.error));
    }
    const decisions = DecisionWindow.from(new Map(content.data.decisions));
    const folded = { nextOffset, state: state.data, decisions };
    return encodeSnapshot(stream, folded).text === text
        ? Ok(folded)
        : Err(issue("snapshot_unknown", ["text"], "holds a state of an unknown version"));
}

function firstIssue(error: z.ZodError): Issue {
    return issuesFromZod(error)[0] ?? issue("snapshot_malformed", [], "is malformed");
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
