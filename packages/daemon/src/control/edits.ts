/** Edits of the table through the configuration stream. */
import type { EditRequest, EditResult, EditsRequest, EditsResponse } from "@damaskvale/core";
import { rowKey } from "@damaskvale/core";
import { setTimeout as delay } from "node:timers/promises";
import type { ControlOptions } from "./types.js";

/** How long an edit may wait for its decision. */
export const DECISION_TIMEOUT_MILLISECONDS = 5_000;
/** How long `wait: "everywhere"` waits for all live daemons. */
export const EVERYWHERE_TIMEOUT_MILLISECONDS = 10_000;
const EVERYWHERE_POLL_MILLISECONDS = 20;

/**
 * Appends edits and reports what became of each. An edit counts as accepted only after this daemon has read it back
 * and folded it. With `wait: "everywhere"` the answer also names the live daemons that do not have it in force.
 */
export async function applyEdits(
    options: ControlOptions,
    request: EditsRequest,
    operator: string,
): Promise<EditsResponse> {
    const results = await Promise.all(request.edits.map(edit => applyEdit(options, edit, operator)));
    const newest = Math.max(0, ...results.filter(isAccepted).map(result => result.revision ?? 0));
    const everywhere = request.wait === "everywhere" && newest > 0;
    const offsets = [...everywhere ? await waitUntilEverywhere(options, newest) : options.configurationOffsets()];
    return {
        results,
        inForceOn: offsets.filter(([, offset]) => offset >= newest).map(([daemon]) => daemon).sort(),
        missing: offsets.filter(([, offset]) => offset < newest).map(([daemon]) => daemon).sort(),
    };
}

function isAccepted(result: EditResult): boolean {
    return result.result === "accepted";
}

async function applyEdit(options: ControlOptions, edit: EditRequest, operator: string): Promise<EditResult> {
    const { id, key, baseRevision, row } = edit;
    if (row !== undefined && rowKey(row) !== key) {
        const found = { code: "key_mismatch", path: ["key"], message: `does not name the row ${rowKey(row)}` };
        return { id, key, result: "refused", issue: found };
    }
    const appended = await options.configuration.append(
        { kind: "edit", key, baseRevision, operator, ...(row === undefined ? {} : { row }) },
        { id: `edit-${id}`, timeoutMilliseconds: DECISION_TIMEOUT_MILLISECONDS },
    );
    if (appended.err) {
        const { kind, message, retryAfterMilliseconds } = appended.val;
        const found = { code: "log_unavailable", path: [], message };
        return { id, key, result: kind === "refused" ? "refused" : "undecided", issue: found, retryAfterMilliseconds };
    }
    const { accepted, offset, issue } = appended.val;
    // The revision of a row is one above the offset of its record, and so the next offset once it is in force.
    return { id, key, result: accepted ? "accepted" : "rejected", revision: offset + 1, issue };
}

/** Asks the live daemons whose offset is not known to be high enough, until all are or the time is over. */
async function waitUntilEverywhere(options: ControlOptions, offset: number): Promise<ReadonlyMap<string, number>> {
    const until = options.clock.monotonic() + EVERYWHERE_TIMEOUT_MILLISECONDS;
    const asked = new Map<string, number>();
    const known = () =>
        new Map(
            [...options.configurationOffsets()].map(([daemon, heard]) =>
                [daemon, Math.max(heard, asked.get(daemon) ?? 0)] as const
            ),
        );
    const behind = () => [...known()].filter(([, heard]) => heard < offset).map(([daemon]) => daemon);
    while (behind().length > 0 && options.clock.monotonic() < until) {
        await Promise.all(
            behind().map(async daemon => {
                asked.set(daemon, await options.fetchConfigurationOffset(daemon) ?? 0);
            }),
        );
        await delay(EVERYWHERE_POLL_MILLISECONDS);
    }
    return known();
}
