/** Handlers of the routes for callers. */
import type { RowOf } from "@damaskvale/core";
import { Err, Ok, type Result } from "ts-results";
import type { CallerError, CheckedRequest } from "../dispatch/types.js";
import { readBody } from "./body.js";
import { safeParseChatBody } from "./chatbody.js";
import { writeError, writeErrorAndLinger } from "./errors.js";
import type { Exchange } from "./exchange.js";
import { requestHeaders } from "./forwardedheaders.js";
import { authenticate } from "./headers.js";
import { parseServicePath } from "./servicepath.js";
import { createSink } from "./sink.js";

/** Methods that change nothing; they may be repeated unless a call row says otherwise. */
const SAFE_METHODS: readonly string[] = ["GET", "HEAD", "OPTIONS"];

/** `POST /v1/chat/completions`. */
export async function handleChat(exchange: Exchange): Promise<void> {
    const { options, request } = exchange;
    const team = teamOf(exchange);
    if (team.err) {
        return refuse(exchange, team.val);
    }
    if (!/^application\/json\s*(;|$)/i.test(request.headers["content-type"] ?? "application/json")) {
        const message = "Header content-type must be application/json.";
        return refuse(exchange, { code: "invalid_header", message, param: "content-type" });
    }
    const bytes = await readBody(request, options);
    if (bytes.err) {
        return refuse(exchange, bytes.val);
    }
    const body = safeParseChatBody(bytes.val);
    const checked = body.andThen(({ model }) => checkModel(exchange, team.val, model));
    if (body.err || checked.err) {
        return refuse(exchange, (body.err ? body.val : checked.val) as CallerError);
    }
    await options.dispatcher.submit({
        ...commonOf(exchange, team.val),
        kind: "chat",
        ...body.val,
        rawBody: bytes.val,
        ...(exchange.forwarded === undefined ? {} : { forwardedBy: exchange.forwarded.daemon }),
    }, createSink(exchange));
}

/** Any method on `/services/NAME/...`. */
export async function handleService(exchange: Exchange): Promise<void> {
    const { options, request } = exchange;
    const team = teamOf(exchange);
    if (team.err) {
        return refuse(exchange, team.val);
    }
    const place = parseServicePath(exchange.path);
    if (place.err) {
        return refuse(exchange, place.val);
    }
    const table = options.table.current();
    const service = table.service(place.val.service);
    if (service === undefined) {
        const message = `There is no service ${place.val.service}.`;
        return refuse(exchange, { code: "service_not_found", message });
    }
    if (!allows(team.val.services, service.name)) {
        const message = `Team ${team.val.name} may not use service ${service.name}.`;
        return refuse(exchange, { code: "service_not_allowed", message });
    }
    const body = await readBody(request, options);
    if (body.err) {
        return refuse(exchange, body.val);
    }
    const method = request.method ?? "GET";
    // The table is read again, because an edit may have come into force while the body arrived.
    const call = options.table.current().call(service.name, method, place.val.path);
    await options.dispatcher.submit({
        ...commonOf(exchange, team.val),
        kind: "service",
        service,
        method,
        path: `${place.val.path}${exchange.query}`,
        headers: requestHeaders(request.headers),
        body: body.val,
        repeatable: call === undefined ? SAFE_METHODS.includes(method) : call.repeatable === "yes",
    }, createSink(exchange));
}

/** `GET /v1/models` and `GET /v1/models/NAME`. */
export function handleModels(exchange: Exchange): void {
    const { options, path } = exchange;
    const team = teamOf(exchange);
    if (team.err) {
        return refuse(exchange, team.val);
    }
    const one = path.slice("/v1/models/".length);
    if (one !== "") {
        const model = checkModel(exchange, team.val, one);
        return model.ok ? writeJson(exchange, 200, describeModel(one)) : refuse(exchange, model.val);
    }
    const names = options.table.current().rows.flatMap(({ row }) =>
        row.kind === "model" && allows(team.val.models, row.name) ? [row.name] : []
    );
    writeJson(exchange, 200, { object: "list", data: names.map(describeModel) });
}

/** Writes a JSON response of the daemon itself. */
export function writeJson({ response, requestId }: Exchange, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        "x-damaskvale-request-id": requestId,
        "x-damaskvale-outcome": "complete",
    });
    response.end(body);
}

/** Refuses a request before it was dispatched. A body that was not read to its end closes the connection. */
export function refuse({ request, response, requestId, span }: Exchange, error: CallerError): void {
    span.setAttribute("code", error.code);
    if (request.complete || response.headersSent || response.destroyed) {
        writeError(response, requestId, error);
        return;
    }
    response.setHeader("connection", "close");
    writeErrorAndLinger(request, response, requestId, error);
}

function teamOf({ request, options, forwarded }: Exchange): Result<RowOf<"team">, CallerError> {
    const table = options.table.current();
    if (forwarded === undefined) {
        return authenticate(request, table);
    }
    const team = table.team(forwarded.team);
    return team === undefined
        ? Err({ code: "invalid_api_key", message: `Team ${forwarded.team} is unknown here.` })
        : Ok(team);
}

function checkModel({ options }: Exchange, team: RowOf<"team">, model: string): Result<string, CallerError> {
    if (options.table.current().model(model) === undefined) {
        return Err({ code: "model_not_found", message: `There is no model ${model}.`, param: "model" });
    }
    return allows(team.models, model)
        ? Ok(model)
        : Err({
            code: "model_not_allowed",
            message: `Team ${team.name} may not use model ${model}.`,
            param: "model",
        });
}

function commonOf(exchange: Exchange, team: RowOf<"team">): CheckedRequest {
    const { headers, receivedAt, requestId, span } = exchange;
    return {
        id: requestId,
        team,
        priority: headers.priority,
        receivedAt,
        deadlineAt: receivedAt + headers.deadlineMilliseconds,
        ...(headers.idempotencyKey === undefined ? {} : { idempotencyKey: headers.idempotencyKey }),
        traceparent: span.traceparent,
    };
}

function describeModel(name: string): Record<string, unknown> {
    return { id: name, object: "model", created: 0, owned_by: "damaskvale" };
}

function allows(names: readonly string[], name: string): boolean {
    return names.includes("*") || names.includes(name);
}
