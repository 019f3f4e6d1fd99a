/** Allocates free loopback ports for processes whose address must be known before they start. */
import { createServer, type Server } from "node:net";

/**
 * The range lies below the ephemeral ports of the kernel. An ephemeral port could be assigned to an outgoing
 * connection, or to another process that binds to port 0, between its allocation and the start of the process.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Distance between the first ports of processes with consecutive ids, so that they do not try the same ports. */
const PORTS_PER_PROCESS = 100;

let nextPortOffset = process.pid * PORTS_PER_PROCESS % PORT_COUNT;

/** Returns free ports. Successive calls in one process return different ports. */
export async function freePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = FIRST_PORT + nextPortOffset;
        nextPortOffset = (nextPortOffset + 1) % PORT_COUNT;
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
