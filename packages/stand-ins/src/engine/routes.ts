/** HTTP routes of the engine stand-in. */
import type { ServerResponse } from "node:http";
import { hashBody, type Journal } from "../shared/journal.js";
import { createErrorReply, parseJsonBody, type Reply, type Route, type StandInRequest } from "../shared/server.js";
import { chatSchema } from "./answer.js";
import type { Attempt, Batch } from "./batch.js";
import type { PrefixCache } from "./cache.js";
import { type Order, orderSchema, type Role } from "./role.js";

/** Components of one engine. */
export interface EngineParts {
    readonly host: string;
    readonly role: Role;
    readonly batch: Batch;
    readonly cache: PrefixCache;
    readonly journal: Journal;
    /** Returns a delayed sample of the load and its age. */
    laggedLoad(): { readonly running: number; readonly queued: number; readonly ageMilliseconds: number; };
    /** Called after an attempt is added to the batch. */
    onAttemptStart(): void;
}

/** Interval of the SSE comments that are sent until the first token of an attempt is available. */
const KEEP_ALIVE_INTERVAL_MILLISECONDS = 500;

/** Creates the routes. */
export function engineRoutes(parts: EngineParts): Route[] {
    return [
        { method: "GET", pattern: /^\/report$/, handle: () => ({ status: 200, body: createReport(parts) }) },
        { method: "POST", pattern: /^\/orders$/, handle: request => applyOrder(parts, request) },
        { method: "POST", pattern: /^\/v1\/chat\/completions$/, handle: request => createCompletion(parts, request) },
        {
            method: "GET",
            pattern: /^\/attempts\/([^/]+)\/stream$/,
            handle: ({ parameters: [id], query, response }) => {
                const attempt = parts.batch.find(decodeURIComponent(id!));
                if (attempt === undefined || attempt.state === "cancelled" || attempt.state === "broken") {
                    return createErrorReply(404, "attempt_not_found", "the attempt is not held here");
                }
                streamAttempt(attempt, response, Number(query.get("from") ?? 0));
                return undefined;
            },
        },
        {
            method: "DELETE",
            pattern: /^\/attempts\/([^/]+)$/,
            handle: ({ parameters: [id] }) =>
                parts.batch.cancel(decodeURIComponent(id!), Date.now())
                    ? { status: 200, body: {} }
                    : createErrorReply(404, "attempt_not_found", "the attempt is not in progress"),
        },
        {
            method: "GET",
            pattern: /^\/cache-events$/,
            handle: ({ query }) => ({
                status: 200,
                body: parts.cache.events(Number(query.get("from") ?? 0), Date.now()),
            }),
        },
    ];
}

function createReport({ host, role, laggedLoad }: EngineParts): unknown {
    const { state, assignment } = role.current();
    return {
        host,
        incarnation: role.incarnation,
        group: assignment?.group,
        fence: assignment?.fence,
        model: assignment?.model,
        version: assignment?.version,
        state,
        load: laggedLoad(),
    };
}

function applyOrder({ role, journal }: EngineParts, request: StandInRequest): Reply {
    const parsed = orderSchema.safeParse(parseJsonBody(request));
    if (!parsed.success) {
        return createErrorReply(400, "malformed_order", parsed.error.message);
    }
    const accepted = role.apply(parsed.data);
    journal.finish(
        journal.start(accepted ? "order" : "refusal", {
            bodyHash: hashBody(request.body),
            group: parsed.data.group,
            fence: parsed.data.fence,
            detail: { order: parsed.data.order, model: parsed.data.model, leader: parsed.data.leader },
        }),
        accepted ? "done" : "old_fence",
    );
    return accepted ? { status: 200, body: {} } : createErrorReply(409, "old_fence", "the fencing number is old");
}

function createCompletion(parts: EngineParts, request: StandInRequest): Reply | undefined {
    const { batch, host, role, journal } = parts;
    const id = String(request.headers["x-attempt-id"] ?? "");
    const { state, assignment } = role.current();
    const reject = (status: number, code: string, message: string): Reply => {
        journal.finish(journal.start("refusal", { attempt: id, detail: { code } }), code);
        return createErrorReply(status, code, message);
    };
    if (id === "") {
        return reject(400, "attempt_id_missing", "the header x-attempt-id is missing");
    }
    if (!isAddressedToGroup(request, host, assignment)) {
        return reject(409, "wrong_group", "the request is not for the group that this engine leads");
    }
    if (state !== "ready") {
        return reject(503, "not_started", "the model is loading");
    }
    const parsed = chatSchema.safeParse(parseJsonBody(request));
    if (!parsed.success || parsed.data.model !== assignment!.model) {
        return reject(400, "malformed_body", parsed.error?.message ?? "the model is not held here");
    }
    if (batch.find(id) !== undefined) {
        return reject(409, "attempt_exists", "the attempt id was used before");
    }
    const attempt = batch.start({
        id,
        priority: Number(request.headers["x-priority"] ?? 5),
        chat: parsed.data,
        bodyHash: hashBody(request.body),
        group: assignment!.group,
        fence: assignment!.fence,
    }, Date.now());
    if (attempt === undefined) {
        return reject(503, "not_started", "the engine is at capacity");
    }
    parts.onAttemptStart();
    if (parsed.data.stream === true) {
        streamAttempt(attempt, request.response, 0);
    }
    else {
        sendCompletion(attempt, request.response);
    }
    return undefined;
}

function isAddressedToGroup({ headers }: StandInRequest, host: string, assignment: Order | undefined): boolean {
    return assignment !== undefined && assignment.leader === host
        && headers["x-group"] === assignment.group && Number(headers["x-fence"]) === assignment.fence;
}

function attachReader(attempt: Attempt, response: ServerResponse, reader: () => void): void {
    attempt.readers.add(reader);
    response.on("close", () => {
        attempt.readers.delete(reader);
        attempt.idleSince = Date.now();
    });
    reader();
}

function streamAttempt(attempt: Attempt, response: ServerResponse, from: number): void {
    let sent = from;
    response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
    response.flushHeaders();
    const keepAliveTimer = setInterval(() => response.write(": queued\n\n"), KEEP_ALIVE_INTERVAL_MILLISECONDS);
    response.on("close", () => clearInterval(keepAliveTimer));
    attachReader(attempt, response, () => {
        if (attempt.state === "broken" || attempt.state === "cancelled") {
            response.destroy();
            return;
        }
        const available = attempt.answer.eventCount(attempt.produced);
        if (available > sent) {
            clearInterval(keepAliveTimer);
            const events = [...Array(available - sent).keys()].map(offset => sent + offset);
            response.write(
                events.map(index => `id: ${index}\ndata: ${JSON.stringify(attempt.answer.event(index))}\n\n`).join(""),
            );
            sent = available;
        }
        if (attempt.state === "done") {
            response.end("data: [DONE]\n\n");
        }
    });
}

function sendCompletion(attempt: Attempt, response: ServerResponse): void {
    attachReader(attempt, response, () => {
        if (attempt.state === "broken" || attempt.state === "cancelled") {
            response.destroy();
        }
        else if (attempt.state === "done" && !response.headersSent) {
            const payload = JSON.stringify(attempt.answer.completion());
            response.writeHead(200, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(payload),
            });
            response.end(payload);
        }
    });
}
