/**
 * Lists and lifts the quarantine of prompt parts and requests for operators: `GET /quarantine` and
 * `DELETE /quarantine/SUBJECT`.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { OperatorHandler } from "./metrics.js";
import type { RequestQuarantine } from "./requestquarantine.js";

const LIST_PATH = "/quarantine";
const SUBJECT_PATH = /^\/quarantine\/((?:request-)?[\da-f]{1,32})$/i;

/** Creates the handler. */
export function createQuarantineHandler(
    quarantine: Pick<RequestQuarantine, "quarantined" | "release">,
): OperatorHandler {
    return ({ method, url = "" }: IncomingMessage, response: ServerResponse) => {
        const part = SUBJECT_PATH.exec(url)?.[1]?.toLowerCase();
        if (method === "GET" && url === LIST_PATH) {
            const parts = quarantine.quarantined().map(({ part: id, crashes, cause, trials }) => ({
                part: id,
                crashes,
                cause,
                trials,
            }));
            response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify({ parts }));
            return true;
        }
        if (method === "DELETE" && part !== undefined) {
            response.writeHead(quarantine.release(part) ? 204 : 404).end();
            return true;
        }
        if (url === LIST_PATH || url.startsWith(`${LIST_PATH}/`)) {
            response.writeHead(method === "GET" ? 404 : 405).end();
            return true;
        }
        return false;
    };
}
