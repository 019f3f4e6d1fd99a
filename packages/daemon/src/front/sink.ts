/** Writes responses to callers: complete responses, and streams of server-sent events with back pressure. */
import type { CallerError, ResponseSink } from "../dispatch/types.js";
import { formatErrorBody, writeError } from "./errors.js";
import type { Exchange } from "./exchange.js";
import { filterResponseHeaders } from "./forwardedheaders.js";

/** Name of the header and of the trailer that carry the outcome. */
const OUTCOME_HEADER = "x-damaskvale-outcome";

/**
 * Creates the receiver of the response to one request. The outcome of a stream is not known when its headers are sent:
 * the header says `unknown`, and the trailer after the last event carries the outcome.
 */
export function createSink({ request, response, requestId }: Exchange): ResponseSink {
    const gone = new AbortController();
    const supportsTrailers = request.httpVersion === "1.1";
    response.on("close", () => {
        if (!response.writableFinished) {
            gone.abort();
        }
    });
    if (response.destroyed) {
        gone.abort();
    }

    const startStream = (): void => {
        if (!response.headersSent) {
            response.writeHead(200, {
                "content-type": "text/event-stream; charset=utf-8",
                "cache-control": "no-cache",
                "x-damaskvale-request-id": requestId,
                [OUTCOME_HEADER]: "unknown",
                ...(supportsTrailers ? { trailer: OUTCOME_HEADER } : {}),
            });
        }
    };
    const endStream = (lastEvent: string, outcome: string): void => {
        if (supportsTrailers) {
            response.addTrailers({ [OUTCOME_HEADER]: outcome });
        }
        response.end(`data: ${lastEvent}\n\n`);
    };

    return {
        gone: gone.signal,
        respond: ({ status, headers, body, outcome }) => {
            const headRequest = request.method === "HEAD";
            response.writeHead(status, {
                ...filterResponseHeaders(headers, headRequest),
                ...(headRequest || status === 204 || status === 304 ? {} : { "content-length": body.length }),
                "x-damaskvale-request-id": requestId,
                [OUTCOME_HEADER]: outcome,
            });
            response.end(headRequest ? undefined : body);
        },
        chunk: data => {
            startStream();
            if (response.destroyed || response.write(`data: ${data}\n\n`)) {
                return undefined;
            }
            return new Promise(resolve => {
                const finish = (): void => {
                    response.off("drain", finish).off("close", finish);
                    resolve();
                };
                response.on("drain", finish).on("close", finish);
            });
        },
        done: () => {
            startStream();
            endStream("[DONE]", "complete");
        },
        fail: (error: CallerError) => {
            if (response.headersSent) {
                endStream(formatErrorBody(error), error.outcome ?? "unknown");
            }
            else {
                writeError(response, requestId, error);
            }
        },
    };
}
