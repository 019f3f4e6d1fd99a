/** Writes answers to callers: whole ones, and streams of server-sent events with back pressure. */
import type { CallerError, ResponseSink } from "../dispatch/types.js";
import { formatErrorBody, writeError } from "./errors.js";
import type { Exchange } from "./exchange.js";
import { answerHeaders } from "./forwardedheaders.js";

/** Trailer and header that carry the outcome. */
const OUTCOME = "x-damaskvale-outcome";

/**
 * Makes the receiver of the answer to one request. A stream cannot tell its outcome in advance: its header says
 * `unknown`, and the trailer after the last event says what became of it.
 */
export function createSink({ request, response, requestId }: Exchange): ResponseSink {
    const gone = new AbortController();
    const trailers = request.httpVersion === "1.1";
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
                [OUTCOME]: "unknown",
                ...(trailers ? { trailer: OUTCOME } : {}),
            });
        }
    };
    const endStream = (lastEvent: string, outcome: string): void => {
        if (trailers) {
            response.addTrailers({ [OUTCOME]: outcome });
        }
        response.end(`data: ${lastEvent}\n\n`);
    };

    return {
        gone: gone.signal,
        respond: ({ status, headers, body, outcome }) => {
            const head = request.method === "HEAD";
            response.writeHead(status, {
                ...answerHeaders(headers, head),
                ...(head || status === 204 || status === 304 ? {} : { "content-length": body.length }),
                "x-damaskvale-request-id": requestId,
                [OUTCOME]: outcome,
            });
            response.end(head ? undefined : body);
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
