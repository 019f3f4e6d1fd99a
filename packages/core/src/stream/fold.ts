/** Generic fold of a log stream: applies entries in offset order and decides each record once. */
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
 * Applies one entry. A new schema of a known body kind needs a new `RECORD_VERSION`: daemons of different versions
 * would otherwise decide the same record differently.
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
        const verdict = definition.apply(folded.state, body.data, {
            offset,
            time,
            id: record.id,
            author: record.author,
        });
        return decide(folded, record.id, verdict);
    }
    const found = issuesFromZod(body.error);
    const unknownKind = found.find(({ path }) => path.length === 1 && path[0] === "kind");
    return unknownKind !== undefined && kindSchema.safeParse(record.body).success
        ? halt(folded, issue("unknown_body", ["body", "kind"], unknownKind.message))
        : decide(folded, record.id, { kind: "rejected", issue: found[0] ?? issue("invalid_body", [], "is invalid") });
}

const versionedSchema = z.object({ version: z.number() });
const kindSchema = z.object({ kind: z.string() });

function versionOf(value: unknown): number | undefined {
    return versionedSchema.safeParse(value).data?.version;
}

function halt<State>(folded: FoldState<State>, found: Issue): EntryResult<State> {
    return {
        kind: "halted",
        folded: { ...folded, halted: { offset: folded.nextOffset, issue: found } },
        issue: found,
    };
}

function advance<State>(folded: FoldState<State>, kind: EntryResultKind, found?: Issue): EntryResult<State> {
    const decisions = DecisionWindow.from(folded.decisions).advance(folded.nextOffset);
    return { kind, folded: { nextOffset: folded.nextOffset + 1, state: folded.state, decisions }, issue: found };
}

function decide<State>(
    folded: FoldState<State>,
    id: string,
    verdict: RecordResult<State>,
    kind: EntryResultKind = verdict.kind,
): EntryResult<State> {
    const offset = folded.nextOffset;
    const found = verdict.kind === "rejected" ? verdict.issue : undefined;
    const decision = found === undefined
        ? { offset, accepted: true }
        : { offset, accepted: false, issue: found };
    const decisions = DecisionWindow.from(folded.decisions).advance(offset).add(id, decision);
    const state = verdict.kind === "accepted" ? verdict.state : folded.state;
    return { kind, folded: { nextOffset: offset + 1, state, decisions }, issue: found };
}
