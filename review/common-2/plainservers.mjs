/** Starts plain servers, registers them, and notes what they run. */
import { join } from "node:path";
import { sleep, until } from "./deployment.mjs";

const HEARTBEAT_MILLISECONDS = 1_200;

/** Starts a server process and writes its entry again and again, as servers do, until it has ended. */
export async function startServer(deployment, { id, service, behavior = "sound", slots = 6 }) {
    const server = { id, address: "", ran: [], answered: [], wrote: new Map(), unframed: [], state: "ready" };
    const handlers = {
        listens: ({ address }) => {
            server.address = address;
        },
        ran: ({ requestId }) => {
            deployment.note(`${id} runs ${requestId}`);
            server.ran.push(requestId);
        },
        wrote: ({ requestId, written }) => server.wrote.set(requestId, written),
        unframed: ({ requestId }) => {
            deployment.note(`${id} answers ${requestId} without a length`);
            server.unframed.push(requestId);
        },
        answered: ({ requestId, status }) => {
            deployment.note(`${id} has answered ${requestId} with ${status}`);
            server.answered.push(requestId);
        },
    };
    server.child = deployment.start([join(import.meta.dirname, "server.mjs"), id, behavior], {}, line => {
        const { kind, ...fields } = JSON.parse(line);
        handlers[kind](fields);
    });
    await until(`${id} listens`, () => server.address !== "");
    const born = Date.now();
    let sequence = 0;
    server.register = () => {
        sequence += 1;
        deployment.store.put("keyed.servers", id, {
            backend: service,
            address: server.address,
            zone: "hall",
            version: "v1",
            slots,
            state: server.state,
            coldRemainingMs: 0,
            sequence,
            born,
        });
    };
    server.hasEnded = false;
    void server.child.ended.then(() => {
        server.hasEnded = true;
    });
    void beat(server);
    return server;
}

async function beat(server) {
    while (!server.hasEnded) {
        server.register();
        await sleep(HEARTBEAT_MILLISECONDS);
    }
}
