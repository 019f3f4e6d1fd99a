/** Routes of the engine stand-in. */
import type { ServerResponse } from "node:http";
import { hashBody, type Journal } from "../shared/journal.js";
import { createErrorReply, parseJsonBody, type Reply, type Route, type StandInRequest } from "../shared/server.js";
import { chatSchema } from "./answer.js";
import type { Attempt, Batch } from "./batch.js";
import type { PrefixCache } from "./cache.js";
import { type Order, orderSchema, type Role } from "./role.js";

/** Parts of one engine. */
export interface EngineParts {
    readonly host: string;
    readonly role: Role;
    readonly batch: Batch;
    readonly cache: PrefixCache;
    readonly journal: Journal;
    /** Load as it was some time ago, with its age. */
    laggedLoad(): { readonly running: number; readonly queued: number; readonly ageMilliseconds: number; };
    /** Called after an attempt has started. */
    onAttemptStart(): void;
}

/** A comment is sent this often while an attempt has no token yet. */
const COMMENT_MILLISECONDS = 500;

/** Makes the routes. */
export function engineRoutes(parts: EngineParts): Route[] {
    return [
        { method: "GET", pattern: /^\/report$/, handle: () => ({ status: 200, body: report(parts) }) },
        { method: "POST", pattern: /^\/orders$/, handle: request => order(parts, request) },
        { method: "POST", pattern: /^\/v1\/chat\/completions$/, handle: request => complete(parts, request) },
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
                parts.batch.cancel(decodeURIComponent(id!))
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

function report({ host, role, laggedLoad }: EngineParts): unknown {
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

function order({ role, journal }: EngineParts, request: StandInRequest): Reply {
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

function complete(parts: EngineParts, request: StandInRequest): Reply | undefined {
    const { batch, host, role, journal } = parts;
    const id = String(request.headers["x-attempt-id"] ?? "");
    const { state, assignment } = role.current();
    const refused = (status: number, code: string, message: string): Reply => {
        journal.finish(journal.start("refusal", { attempt: id, detail: { code } }), code);
        return createErrorReply(status, code, message);
    };
    if (id === "") {
        return refused(400, "attempt_id_missing", "the header x-attempt-id is missing");
    }
    if (!addresses(request, host, assignment)) {
        return refused(409, "wrong_group", "the request is not for the group that this engine leads");
    }
    if (state !== "ready") {
        return refused(503, "not_started", "the model is loading");
    }
    const parsed = chatSchema.safeParse(parseJsonBody(request));
    if (!parsed.success || parsed.data.model !== assignment!.model) {
        return refused(400, "malformed_body", parsed.error?.message ?? "the model is not held here");
    }
    if (batch.find(id) !== undefined) {
        return refused(409, "attempt_exists", "the attempt id was used before");
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
        return refused(503, "not_started", "the engine is at capacity");
    }
    parts.onAttemptStart();
    if (parsed.data.stream === true) {
        streamAttempt(attempt, request.response, 0);
    }
    else {
        answerWhole(attempt, request.response);
    }
    return undefined;
}

function addresses({ headers }: StandInRequest, host: string, assignment: Order | undefined): boolean {
    return assignment !== undefined && assignment.leader === host
        && headers["x-group"] === assignment.group && Number(headers["x-fence"]) === assignment.fence;
}

function read(attempt: Attempt, response: ServerResponse, reader: () => void): void {
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
    const comments = setInterval(() => response.write(": queued\n\n"), COMMENT_MILLISECONDS);
    response.on("close", () => clearInterval(comments));
    read(attempt, response, () => {
        if (attempt.state === "broken" || attempt.state === "cancelled") {
            response.destroy();
            return;
        }
        const available = attempt.answer.eventCount(attempt.produced);
        if (available > sent) {
            clearInterval(comments);
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

function answerWhole(attempt: Attempt, response: ServerResponse): void {
    read(attempt, response, () => {
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
