/** Handlers of the routes for callers: chat completions, services and models. */
import type { RowOf } from "@damaskvale/core";
import { Err, Ok, type Result } from "ts-results";
import type { CallerError, CheckedRequest } from "../dispatch/types.js";
import { readBody } from "./body.js";
import { safeParseChatBody } from "./chatbody.js";
import { writeError, writeErrorAndDrainBody } from "./errors.js";
import type { Exchange } from "./exchange.js";
import { filterRequestHeaders } from "./forwardedheaders.js";
import { authenticate } from "./headers.js";
import { parseServicePath } from "./servicepath.js";
import { createSink } from "./sink.js";

/** Safe methods. Their requests are repeatable unless a call row says otherwise. */
const SAFE_METHODS: readonly string[] = ["GET", "HEAD", "OPTIONS"];

/** Handles `POST /v1/chat/completions`. */
export async function handleChat(exchange: Exchange): Promise<void> {
    const { options, request } = exchange;
    const team = authenticateTeam(exchange);
    if (team.err) {
        return refuse(exchange, team.val);
    }
    if (!/^application\/json\s*(;|$)/i.test(request.headers["content-type"] ?? "application/json")) {
        const message = "Header content-type must be application/json.";
        return refuse(exchange, { code: "invalid_header", message, param: "content-type" });
    }
    const rawBody = await readBody(request, options);
    if (rawBody.err) {
        return refuse(exchange, rawBody.val);
    }
    const body = safeParseChatBody(rawBody.val);
    const checked = body.andThen(({ model }) => checkModel(exchange, team.val, model));
    if (body.err || checked.err) {
        return refuse(exchange, (body.err ? body.val : checked.val) as CallerError);
    }
    await options.dispatcher.submit({
        ...checkedRequestOf(exchange, team.val),
        kind: "chat",
        ...body.val,
        rawBody: rawBody.val,
        ...(exchange.forwarded === undefined ? {} : { forwardedBy: exchange.forwarded.daemon }),
    }, createSink(exchange));
}

/** Handles any method on `/services/NAME/...`. */
export async function handleService(exchange: Exchange): Promise<void> {
    const { options, request } = exchange;
    const team = authenticateTeam(exchange);
    if (team.err) {
        return refuse(exchange, team.val);
    }
    const servicePath = parseServicePath(exchange.path);
    if (servicePath.err) {
        return refuse(exchange, servicePath.val);
    }
    const table = options.table.current();
    const service = table.service(servicePath.val.service);
    if (service === undefined) {
        const message = `There is no service ${servicePath.val.service}.`;
        return refuse(exchange, { code: "service_not_found", message });
    }
    if (!includesName(team.val.services, service.name)) {
        const message = `Team ${team.val.name} may not use service ${service.name}.`;
        return refuse(exchange, { code: "service_not_allowed", message });
    }
    const body = await readBody(request, options);
    if (body.err) {
        return refuse(exchange, body.val);
    }
    const method = request.method ?? "GET";
    // The table is read again, because an edit may have taken effect while the body was read.
    const call = options.table.current().call(service.name, method, servicePath.val.path);
    await options.dispatcher.submit({
        ...checkedRequestOf(exchange, team.val),
        kind: "service",
        service,
        method,
        path: `${servicePath.val.path}${exchange.query}`,
        headers: filterRequestHeaders(request.headers),
        body: body.val,
        repeatable: call === undefined ? SAFE_METHODS.includes(method) : call.repeatable === "yes",
    }, createSink(exchange));
}

/** Handles `GET /v1/models` and `GET /v1/models/NAME`. */
export function handleModels(exchange: Exchange): void {
    const { options, path } = exchange;
    const team = authenticateTeam(exchange);
    if (team.err) {
        return refuse(exchange, team.val);
    }
    const modelName = path.slice("/v1/models/".length);
    if (modelName !== "") {
        const model = checkModel(exchange, team.val, modelName);
        return model.ok ? writeJson(exchange, 200, describeModel(modelName)) : refuse(exchange, model.val);
    }
    const names = options.table.current().rows.flatMap(({ row }) =>
        row.kind === "model" && includesName(team.val.models, row.name) ? [row.name] : []
    );
    writeJson(exchange, 200, { object: "list", data: names.map(describeModel) });
}

/** Writes a JSON response that the daemon itself creates. */
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

/** Refuses a request before dispatch. Closes the connection if the request body has not been read completely. */
export function refuse({ request, response, requestId, span }: Exchange, error: CallerError): void {
    span.setAttribute("code", error.code);
    if (request.complete || response.headersSent || response.destroyed) {
        writeError(response, requestId, error);
        return;
    }
    response.setHeader("connection", "close");
    writeErrorAndDrainBody(request, response, requestId, error);
}

function authenticateTeam({ request, options, forwarded }: Exchange): Result<RowOf<"team">, CallerError> {
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
    return includesName(team.models, model)
        ? Ok(model)
        : Err({
            code: "model_not_allowed",
            message: `Team ${team.name} may not use model ${model}.`,
            param: "model",
        });
}

function checkedRequestOf(exchange: Exchange, team: RowOf<"team">): CheckedRequest {
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

function includesName(names: readonly string[], name: string): boolean {
    return names.includes("*") || names.includes(name);
}
