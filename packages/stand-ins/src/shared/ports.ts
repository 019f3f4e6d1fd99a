/** Allocates free loopback ports for processes and listeners whose address must be known before they start. */
import { createServer, type Server } from "node:net";

/**
 * The range lies below the ephemeral ports of the kernel. An ephemeral port could be assigned to an outgoing
 * connection, or to another process that binds to port 0, between its allocation and the start of the process.
 */
const FIRST_PORT = 10_000;
const BLOCK_COUNT = 200;
/** The first port of a block shows, while it is listened on, that the block belongs to a process. */
const PORTS_PER_BLOCK = 100;
const LOOPBACK_ADDRESS = "127.0.0.1";

/** Blocks of this process, in the order in which it claimed them. */
const claimedBlocks: number[] = [];
let unusedPorts: number[] = [];

/**
 * Returns free ports. Successive calls in one process return different ports until no block is left; no two processes get
 * the same port while both run, also on other loopback addresses than the first one.
 */
export async function freePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = unusedPorts.shift();
        if (port === undefined) {
            unusedPorts = await claimPorts();
        }
        else if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

/** Returns one free port. */
export async function freePort(): Promise<number> {
    const [port = 0] = await freePorts(1);
    return port;
}

/** Claims a block and returns its ports; returns those of the own blocks again if no other one is left. */
async function claimPorts(): Promise<number[]> {
    const first = process.pid % BLOCK_COUNT;
    const candidates = Array.from({ length: BLOCK_COUNT }, (...[, index]) => (first + index) % BLOCK_COUNT)
        .filter(block => !claimedBlocks.includes(block));
    for (const block of candidates) {
        const guard = await listen(FIRST_PORT + block * PORTS_PER_BLOCK);
        if (guard !== undefined) {
            guard.unref();
            claimedBlocks.push(block);
            return portsOf(block);
        }
    }
    if (claimedBlocks.length === 0) {
        throw new Error("Other processes have claimed all ports for tests.");
    }
    return claimedBlocks.flatMap(portsOf);
}

function portsOf(block: number): number[] {
    return Array.from(
        { length: PORTS_PER_BLOCK - 1 },
        (...[, index]) => FIRST_PORT + block * PORTS_PER_BLOCK + index + 1,
    );
}

async function isFree(port: number): Promise<boolean> {
    const server = await listen(port);
    if (server === undefined) {
        return false;
    }
    await new Promise(resolve => server.close(resolve));
    return true;
}

/** Returns a server that listens on a port, or `undefined` if the port is in use. */
function listen(port: number): Promise<Server | undefined> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(undefined));
        server.listen(port, LOOPBACK_ADDRESS, () => resolve(server));
    });
}
