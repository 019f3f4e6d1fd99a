/** HTTP server for the platform's readiness checks. */
import { createServer, type Server } from "node:http";

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;

/** Creates the server, which does not listen yet. */
export function createReadinessServer(isReady: () => boolean): Server {
    return createServer((...[, response]) => {
        response.writeHead(isReady() ? READY_STATUS : NOT_READY_STATUS).end();
    });
}
