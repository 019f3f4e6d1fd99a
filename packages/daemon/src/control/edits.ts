/** Edits the configuration table through the configuration stream. */
import type { EditRequest, EditResult, EditsRequest, EditsResponse } from "@damaskvale/core";
import { rowKey } from "@damaskvale/core";
import { setTimeout as delay } from "node:timers/promises";
import type { ControlOptions } from "./types.js";

/** Timeout of the decision on an edit. */
export const DECISION_TIMEOUT_MILLISECONDS = 5_000;
/** How long a request with `wait: "everywhere"` waits for all live daemons. */
export const EVERYWHERE_TIMEOUT_MILLISECONDS = 10_000;
const EVERYWHERE_POLL_MILLISECONDS = 20;

/**
 * Appends edits and returns the result of each. An edit counts as accepted only after this daemon has read it back and
 * applied it. With `wait: "everywhere"`, the daemon first waits until the edits are in force on all live daemons. The
 * response names the live daemons that have the edits in force, and those that do not.
 */
export async function applyEdits(
    options: ControlOptions,
    request: EditsRequest,
    operator: string,
): Promise<EditsResponse> {
    const results = await Promise.all(request.edits.map(edit => applyEdit(options, edit, operator)));
    const newestRevision = Math.max(0, ...results.filter(isAccepted).map(result => result.revision ?? 0));
    const waitEverywhere = request.wait === "everywhere" && newestRevision > 0;
    const offsets = [
        ...waitEverywhere ? await waitUntilEverywhere(options, newestRevision) : options.configurationOffsets(),
    ];
    return {
        results,
        inForceOn: offsets.filter(([, offset]) => offset >= newestRevision).map(([daemon]) => daemon).sort(),
        missing: offsets.filter(([, offset]) => offset < newestRevision).map(([daemon]) => daemon).sort(),
    };
}

function isAccepted(result: EditResult): boolean {
    return result.result === "accepted";
}

async function applyEdit(options: ControlOptions, edit: EditRequest, operator: string): Promise<EditResult> {
    const { id, key, baseRevision, row } = edit;
    if (row !== undefined && rowKey(row) !== key) {
        const mismatch = { code: "key_mismatch", path: ["key"], message: `does not name the row ${rowKey(row)}` };
        return { id, key, result: "refused", issue: mismatch };
    }
    const appended = await options.configuration.append(
        { kind: "edit", key, baseRevision, operator, ...(row === undefined ? {} : { row }) },
        { id: `edit-${id}`, timeoutMilliseconds: DECISION_TIMEOUT_MILLISECONDS },
    );
    if (appended.err) {
        const { kind, message, retryAfterMilliseconds } = appended.val;
        const unavailable = { code: "log_unavailable", path: [], message };
        return {
            id,
            key,
            result: kind === "refused" ? "refused" : "undecided",
            issue: unavailable,
            retryAfterMilliseconds,
        };
    }
    const { accepted, offset, issue } = appended.val;
    // The revision of a row is the offset of its record plus one, which is the next offset once the edit is in force.
    return { id, key, result: accepted ? "accepted" : "rejected", revision: offset + 1, issue };
}

/** Asks the daemons that are behind for their offsets until all have reached the offset, or until the timeout. */
async function waitUntilEverywhere(options: ControlOptions, offset: number): Promise<ReadonlyMap<string, number>> {
    const deadline = options.clock.monotonic() + EVERYWHERE_TIMEOUT_MILLISECONDS;
    const fetchedOffsets = new Map<string, number>();
    const latestOffsets = () =>
        new Map(
            [...options.configurationOffsets()].map(([daemon, knownOffset]) =>
                [daemon, Math.max(knownOffset, fetchedOffsets.get(daemon) ?? 0)] as const
            ),
        );
    const daemonsBehind = () =>
        [...latestOffsets()].filter(([, knownOffset]) => knownOffset < offset).map(([daemon]) => daemon);
    while (daemonsBehind().length > 0 && options.clock.monotonic() < deadline) {
        await Promise.all(
            daemonsBehind().map(async daemon => {
                fetchedOffsets.set(daemon, await options.fetchConfigurationOffset(daemon) ?? 0);
            }),
        );
        await delay(EVERYWHERE_POLL_MILLISECONDS);
    }
    return latestOffsets();
}
