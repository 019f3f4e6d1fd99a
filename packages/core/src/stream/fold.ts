/** Generic fold of a log stream: applies entries in offset order and decides on each record exactly once. */
import { z } from "zod";
import { type Issue, issue, issuesFromZod } from "../issue.js";
import { type Entry, type LogRecord, RECORD_VERSION, recordSchema } from "./record.js";
import type { EntryResult, EntryResultKind, FoldDefinition, FoldState, RecordResult } from "./types.js";
import { BASIS_WINDOW, DecisionWindow } from "./window.js";

/** Returns the state of a stream before its first entry. */
export function initialFoldState<State, Body>(definition: FoldDefinition<State, Body>): FoldState<State> {
    return { nextOffset: 0, state: definition.initial(), decisions: DecisionWindow.empty };
}

/**
 * Applies one entry. Changing the schema of an existing body kind requires a new `RECORD_VERSION`, because daemons of
 * different versions would otherwise decide differently on the same record.
 */
export function applyEntry<State, Body>(
    definition: FoldDefinition<State, Body>,
    folded: FoldState<State>,
    entry: Entry,
): EntryResult<State> {
    if (folded.halted !== undefined) {
        return { kind: "halted", folded, issue: folded.halted.issue };
    }
    if (entry.offset !== folded.nextOffset) {
        return { kind: entry.offset < folded.nextOffset ? "past" : "gap", folded };
    }
    const version = versionOf(entry.value);
    if (version !== undefined && version !== RECORD_VERSION) {
        return halt(folded, issue("unknown_version", ["version"], `record version ${version} is unknown`));
    }
    const parsed = recordSchema.safeParse(entry.value);
    if (!parsed.success) {
        return advance(folded, "malformed", issuesFromZod(parsed.error)[0]);
    }
    return applyRecord(definition, folded, entry, parsed.data);
}

function applyRecord<State, Body>(
    definition: FoldDefinition<State, Body>,
    folded: FoldState<State>,
    entry: Entry,
    record: LogRecord,
): EntryResult<State> {
    if (folded.decisions.has(record.id)) {
        return advance(folded, "duplicate");
    }
    if (entry.offset - record.basis > BASIS_WINDOW) {
        const stale = issue("stale_basis", ["basis"], `basis ${record.basis} is too far behind offset ${entry.offset}`);
        return decide(folded, record.id, { kind: "rejected", issue: stale }, "stale-basis");
    }
    if (record.basis > entry.offset) {
        const future = issue("future_basis", ["basis"], `basis ${record.basis} is above offset ${entry.offset}`);
        return decide(folded, record.id, { kind: "rejected", issue: future });
    }
    const body = definition.body.safeParse(record.body);
    if (body.success) {
        const { offset, time } = entry;
        const result = definition.apply(folded.state, body.data, {
            offset,
            time,
            id: record.id,
            author: record.author,
        });
        return decide(folded, record.id, result);
    }
    const issues = issuesFromZod(body.error);
    const unknownKind = issues.find(({ path }) => path.length === 1 && path[0] === "kind");
    return unknownKind !== undefined && kindSchema.safeParse(record.body).success
        ? halt(folded, issue("unknown_body", ["body", "kind"], unknownKind.message))
        : decide(folded, record.id, { kind: "rejected", issue: issues[0] ?? issue("invalid_body", [], "is invalid") });
}

const versionedSchema = z.object({ version: z.number() });
const kindSchema = z.object({ kind: z.string() });

function versionOf(value: unknown): number | undefined {
    return versionedSchema.safeParse(value).data?.version;
}

function halt<State>(folded: FoldState<State>, cause: Issue): EntryResult<State> {
    return {
        kind: "halted",
        folded: { ...folded, halted: { offset: folded.nextOffset, issue: cause } },
        issue: cause,
    };
}

function advance<State>(folded: FoldState<State>, kind: EntryResultKind, cause?: Issue): EntryResult<State> {
    const decisions = DecisionWindow.from(folded.decisions).advance(folded.nextOffset);
    return { kind, folded: { nextOffset: folded.nextOffset + 1, state: folded.state, decisions }, issue: cause };
}

function decide<State>(
    folded: FoldState<State>,
    id: string,
    result: RecordResult<State>,
    kind: EntryResultKind = result.kind,
): EntryResult<State> {
    const offset = folded.nextOffset;
    const cause = result.kind === "rejected" ? result.issue : undefined;
    const decision = cause === undefined
        ? { offset, accepted: true }
        : { offset, accepted: false, issue: cause };
    const decisions = DecisionWindow.from(folded.decisions).advance(offset).add(id, decision);
    const state = result.kind === "accepted" ? result.state : folded.state;
    return { kind, folded: { nextOffset: offset + 1, state, decisions }, issue: cause };
}
