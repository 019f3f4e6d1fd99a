/** Free ports of the loopback interface for processes whose address must be known before they start. */
import { type AddressInfo, createServer } from "node:net";

/** Returns free ports. They are held open together while they are chosen, so that they differ. */
export async function freePorts(count: number): Promise<number[]> {
    const servers = await Promise.all([...Array(count).keys()].map(async () => {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return server;
    }));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
