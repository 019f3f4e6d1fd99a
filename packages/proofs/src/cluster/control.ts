/** Client of the operator API of the daemons and of the control routes of the stand-ins. */
import {
    type EditRequest,
    type EditsRequest,
    type EditsResponse,
    type RevisedRow,
    type Row,
    rowKey,
} from "@damaskvale/core";
import type { FaultRequest, JournalEntry } from "@damaskvale/stand-ins";

/** Response to a JSON request. A body that is not JSON is returned as a string. */
export interface JsonAnswer<Body = unknown> {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Body;
}

/** Client of the operator API of one daemon. */
export interface Control {
    get<Body = unknown>(path: string): Promise<JsonAnswer<Body>>;
    table(): Promise<readonly RevisedRow[]>;
    edit(edits: readonly EditRequest[], wait: EditsRequest["wait"]): Promise<JsonAnswer<EditsResponse>>;
    /** Sets rows based on their current revisions at the daemon; rejects unless all edits are accepted. */
    setRows(rows: readonly Row[], wait: EditsRequest["wait"]): Promise<EditsResponse>;
}

const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
let editCount = 0;

/** Sends a request with an optional JSON body and parses the JSON response. */
export async function fetchJson<Body = unknown>(
    url: string,
    options: { readonly method?: string; readonly token?: string; readonly body?: unknown; } = {},
): Promise<JsonAnswer<Body>> {
    const response = await fetch(url, {
        method: options.method ?? (options.body === undefined ? "GET" : "POST"),
        headers: {
            ...(options.body === undefined ? {} : { "content-type": "application/json" }),
            ...(options.token === undefined ? {} : { authorization: `Bearer ${options.token}` }),
        },
        body: options.body === undefined ? undefined : JSON.stringify(options.body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
    });
    const text = await response.text();
    return { status: response.status, headers: response.headers, body: parseJson(text) as Body };
}

/** Creates a client of the operator API. */
export function createControl(url: string, token: string): Control {
    const control: Control = {
        get: path => fetchJson(`${url}/control/v1/${path}`, { token }),
        table: async () => (await control.get<{ rows: RevisedRow[]; }>("table")).body.rows,
        edit: (changes, wait) => fetchJson(`${url}/control/v1/table/edits`, { token, body: { edits: changes, wait } }),
        setRows: async (rows, wait) => {
            const currentRows = await control.table();
            const revisions = new Map(currentRows.map(({ key, revision }) => [key, revision]));
            const edits = rows.map(row => ({
                id: editId(),
                key: rowKey(row),
                baseRevision: revisions.get(rowKey(row)) ?? 0,
                row,
            }));
            const answer = await expectOk(control.edit(edits, wait));
            const failed = answer.results.filter(({ result }) => result !== "accepted");
            if (failed.length > 0) {
                throw new Error(`Table edits were not accepted: ${JSON.stringify(failed)}`);
            }
            return answer;
        },
    };
    return control;
}

/** Returns an edit id that is unique in this process and across its restarts. */
export function editId(): string {
    editCount += 1;
    return `proofs-${process.pid}-${Date.now()}-${editCount}`;
}

/** Enables a fault in a stand-in. */
export async function setFault(url: string, fault: FaultRequest): Promise<void> {
    await expectOk(fetchJson(`${url}/stand-in/faults`, { body: fault }));
}

/** Clears all faults of a stand-in. */
export function clearFaults(url: string): Promise<void> {
    return setFault(url, { fault: "clear" });
}

/** Reads the journal of a stand-in. */
export async function readJournal(url: string): Promise<readonly JournalEntry[]> {
    return (await fetchJson<{ entries: JournalEntry[]; }>(`${url}/stand-in/journal`)).body.entries;
}

/** Resolves to the response body; rejects if the status is 300 or higher. */
export async function expectOk<Body>(answer: Promise<JsonAnswer<Body>>): Promise<Body> {
    const { status, body } = await answer;
    if (status >= 300) {
        throw new Error(`Unexpected response status ${status}: ${JSON.stringify(body)}`);
    }
    return body;
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
}
