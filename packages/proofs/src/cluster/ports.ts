/** Free ports of the loopback interface for processes whose address must be known before they start. */
import { createServer, type Server } from "node:net";

/**
 * Ports below the range from which the kernel takes ports of its own. A port of that range could be given to an outgoing
 * connection, or to another process that asks for any port, between the choice and the start of the process.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Ports that one process may try; processes with neighbouring ids begin this far apart. */
const PORTS_PER_PROCESS = 100;

let next = process.pid * PORTS_PER_PROCESS % PORT_COUNT;

/** Returns free ports, each another one for every call in this process. */
export async function freePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = FIRST_PORT + next;
        next = (next + 1) % PORT_COUNT;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

async function isFree(port: number): Promise<boolean> {
    const server = createServer();
    const listening = await new Promise<boolean>(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (listening) {
        await close(server);
    }
    return listening;
}

function close(server: Server): Promise<void> {
    return new Promise(resolve => server.close(() => resolve()));
}
