import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { type LinkState, startRelay } from "../relay.js";

/** Sets the relay state, then sends data on an existing and a new connection; returns which of them got an echo. */
async function echoAfter(state: LinkState): Promise<{ readonly present: boolean; readonly fresh: boolean; }> {
    const server = createServer(socket => socket.pipe(socket).on("error", () => socket.destroy()));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const relay = await startRelay((server.address() as AddressInfo).port);
    const openConnection = () => connect(relay.port, "127.0.0.1").on("error", () => undefined);
    const answers = async (socket: ReturnType<typeof openConnection>): Promise<boolean> => {
        socket.write("x");
        const timeout = new Promise(resolve => setTimeout(() => resolve("late"), 50));
        return await Promise.race([once(socket, "data"), once(socket, "close").then(() => "late"), timeout]) !== "late";
    };
    const present = openConnection();
    await answers(present);
    relay.set(state);
    const fresh = openConnection();
    const result = { present: await answers(present), fresh: await answers(fresh) };
    [present, fresh].forEach(socket => socket.destroy());
    await relay.close();
    server.close();
    return result;
}

describe("relay", () => {
    const cases: readonly (readonly [LinkState, { present: boolean; fresh: boolean; }])[] = [
        ["open", { present: true, fresh: true }],
        ["cut", { present: false, fresh: false }],
        ["silent", { present: false, fresh: false }],
        ["stale", { present: false, fresh: true }],
    ];
    cases.forEach(([state, expected]) =>
        it(`${state}: partition tests would pass for no reason if the relay let data through`, async () => {
            expect(await echoAfter(state)).to.deep.equal(expected);
        })
    );
});
