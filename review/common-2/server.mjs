/**
 * Plain server as a process. It tells the test by lines on its output where it listens, what it runs and what it answers.
 */
import { once } from "node:events";
import { createServer } from "node:http";

const [id, behavior = "sound"] = process.argv.slice(2);
const PIECES = 5;
const PIECE_MILLISECONDS = 200;
const WORK_MILLISECONDS = 300;
/** The largest dose of the site: x = 0.05 of the answers. */
const UNFRAMED_EACH = 20;
let runs = 0;

const tell = (kind, fields) => process.stdout.write(`${JSON.stringify({ kind, ...fields })}\n`);

/** The whole body of the answer to a request. */
const pieceOf = (requestId, index) => `${requestId} piece ${index + 1} of ${PIECES};`;

function writePieces(requestId, headers, response) {
    response.writeHead(200, headers);
    let written = 0;
    const timer = setInterval(() => {
        response.write(pieceOf(requestId, written));
        written += 1;
        tell("wrote", { requestId, written });
        if (written === PIECES) {
            clearInterval(timer);
            response.end();
            tell("answered", { requestId, status: 200 });
        }
    }, PIECE_MILLISECONDS);
}

const behaviors = {
    sound: (requestId, headers, response) => {
        response.writeHead(200, headers);
        response.end(pieceOf(requestId, 0));
        tell("answered", { requestId, status: 200 });
    },
    /** The answer takes some work. */
    working: (requestId, headers, response) => {
        setTimeout(() => behaviors.sound(requestId, headers, response), WORK_MILLISECONDS);
    },
    /** The answer arrives in pieces. */
    pieces: (requestId, headers, response) => writePieces(requestId, headers, response),
    /** The same; one answer in `UNFRAMED_EACH` states no length and ends with its connection. */
    unframed: (requestId, headers, response) => {
        runs += 1;
        if (runs % UNFRAMED_EACH === 0) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            tell("unframed", { requestId });
        }
        writePieces(requestId, headers, response);
    },
};

const server = createServer(async (request, response) => {
    request.resume();
    await once(request, "end");
    const requestId = request.headers["request-id"] ?? "";
    if (request.url === "/health") {
        response.writeHead(200, { "Instance-Id": id }).end();
        return;
    }
    if (request.headers["expect-instance"] !== id) {
        response.writeHead(421, { "Request-Id": requestId, "Not-Executed": "1" }).end();
        return;
    }
    tell("ran", { requestId });
    const headers = { "Request-Id": requestId, "Response-Stamp": `${id}.${requestId}`, "Content-Type": "text/plain" };
    behaviors[behavior](requestId, headers, response);
});
server.listen(0, "127.0.0.1", () => tell("listens", { address: `127.0.0.1:${server.address().port}` }));
