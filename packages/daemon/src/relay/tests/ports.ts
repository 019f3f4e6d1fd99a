/** Ports for the listeners of tests. They lie below those from which connections start, so that none takes one meanwhile. */
import { createServer } from "node:net";

const FIRST_PORT = 12_000;
const PORT_COUNT = 8_000;

/** Parallel test processes start at different ports. */
let nextOffset = process.pid * 97 % PORT_COUNT;

/** Returns a port that is free on loopback and was not returned before. */
export async function freePort(): Promise<number> {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    return await isFree(port) ? port : freePort();
}

async function isFree(port: number): Promise<boolean> {
    const server = createServer();
    const isListening = await new Promise<boolean>(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (isListening) {
        await new Promise(resolve => server.close(resolve));
    }
    return isListening;
}
