/**
 * Server with an engine as a process: it joins groups by orders, and the head of an open group answers with a stream of
 * events. It tells the test by lines on its output where it listens, its entry whenever that changes, and what it runs.
 */
import { createServer } from "node:http";

const [id, service, domain, options = "{}"] = process.argv.slice(2);
const {
    /** Number of events of an answer, and the pause between two. */
    events = 40,
    eventMilliseconds = 100,
    /** One in so many answers has neither a length nor chunks, once the test has asked for it by SIGUSR1. */
    unframedEach = 20,
} = JSON.parse(options);
const JOIN_MILLISECONDS = 60;
const OPEN_MILLISECONDS = 40;

const born = Date.now();
const staged = [];
let state = "ready";
let model;
let group;
let sequence = 0;
let highestToken = 0;
let highestEpoch = 0;
let running = 0;
let runs = 0;
let spoilsAnswers = false;
let heartbeats = 0;
let address = "";

const tell = (kind, fields) => process.stdout.write(`${JSON.stringify({ kind, ...fields })}\n`);

function describe() {
    return {
        born,
        models: model === undefined ? [] : [{ name: model, version: 1, adapters: [] }],
        domain,
        staged,
        ...(group === undefined
            ? {}
            : { group: { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state } }),
    };
}

function tellEntry() {
    heartbeats += 1;
    const entry = { backend: service, address, zone: "hall", version: "v1", slots: 18, state, coldRemainingMs: 0 };
    tell("entry", { entry: { ...entry, sequence: heartbeats, ...describe() } });
}

function setState(joined, next, milliseconds) {
    setTimeout(() => {
        if (group === joined) {
            joined.state = next;
            tellEntry();
        }
    }, milliseconds);
}

function endClosing() {
    if (group?.state === "closing" && running === 0) {
        group.state = "ready";
        tellEntry();
    }
}

const orders = {
    join: order => {
        const isSame = group?.name === order.group && group.epoch === order.epoch;
        if (order.epoch < highestEpoch || isSame && group.members.join() !== order.members.join()) {
            return 412;
        }
        highestEpoch = order.epoch;
        const { group: name, epoch, members } = order;
        group = { name, epoch, members, rank: members.indexOf(id), state: "joining" };
        model = order.model;
        staged.splice(0, staged.length, order.model);
        setState(group, "ready", JOIN_MILLISECONDS);
        return 202;
    },
    open: order => {
        if (group?.name !== order.group || group.state !== "ready") {
            return 409;
        }
        setState(group, "open", OPEN_MILLISECONDS);
        return 202;
    },
    close: order => {
        if (group?.name === order.group) {
            group.state = "closing";
            endClosing();
        }
        return 202;
    },
    leave: order => {
        group = group?.name === order.group ? undefined : group;
        return 200;
    },
    stage: order => {
        staged.splice(0, staged.length, order.model);
        return 202;
    },
};

function applyOrder(order) {
    if (order.fencingToken < highestToken) {
        return 412;
    }
    if (order.expected !== undefined && order.expected !== sequence) {
        return 409;
    }
    highestToken = order.fencingToken;
    const status = orders[order.operation](order);
    sequence += status < 300 ? 1 : 0;
    tellEntry();
    return status;
}

function serve(request, response) {
    const requestId = request.headers["request-id"] ?? "";
    const headers = { "Request-Id": requestId };
    if (request.headers["expect-instance"] !== id || group?.rank !== 0 || group.state !== "open") {
        response.writeHead(421, { ...headers, "Not-Executed": "1" }).end();
        return;
    }
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    tell("ran", { requestId, first });
    running += 1;
    response.on("close", () => {
        running -= 1;
        endClosing();
    });
    headers["Response-Stamp"] = `${id}.${requestId}`;
    runs += spoilsAnswers ? 1 : 0;
    if (spoilsAnswers && runs % unframedEach === 0) {
        tell("unframed", { requestId });
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    let next = first;
    const timer = setInterval(() => {
        if (next === first) {
            response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
        }
        response.write(`id: ${next}\ndata: piece ${next} of ${events}\n\n`);
        tell("wrote", { requestId, written: next });
        next += 1;
        if (next > events) {
            clearInterval(timer);
            response.end();
            tell("answered", { requestId, status: 200 });
        }
    }, eventMilliseconds);
    response.on("close", () => clearInterval(timer));
}

const server = createServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    if (request.url === "/report") {
        response.end(JSON.stringify({ ...describe(), busy: false, sequence, waiting: 0, running, pace: 1 }));
        return;
    }
    if (request.url === "/health") {
        response.writeHead(state === "ready" ? 200 : 503, { "Instance-Id": id }).end();
        return;
    }
    if (request.url === "/order") {
        const isOther = request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== id;
        response.writeHead(isOther ? 421 : applyOrder(JSON.parse(Buffer.concat(chunks).toString()))).end();
        return;
    }
    serve(request, response);
});
server.listen(0, "127.0.0.1", () => {
    address = `127.0.0.1:${server.address().port}`;
    tellEntry();
    setInterval(tellEntry, 1_200);
});
process.on("SIGUSR1", () => {
    spoilsAnswers = true;
});
// The test asks by this signal for the notice that the server leaves.
process.on("SIGUSR2", () => {
    state = "draining";
    tellEntry();
});
