import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { type LinkState, startRelay } from "../relay.js";

/** Echoes over a present and a new connection after the link changed; tells which of them answered. */
async function probe(state: LinkState): Promise<{ readonly present: boolean; readonly fresh: boolean; }> {
    const server = createServer(socket => socket.pipe(socket).on("error", () => socket.destroy()));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const relay = await startRelay((server.address() as AddressInfo).port);
    const dial = () => connect(relay.port, "127.0.0.1").on("error", () => undefined);
    const answers = async (socket: ReturnType<typeof dial>): Promise<boolean> => {
        socket.write("x");
        const late = new Promise(resolve => setTimeout(() => resolve("late"), 50));
        return await Promise.race([once(socket, "data"), once(socket, "close").then(() => "late"), late]) !== "late";
    };
    const present = dial();
    await answers(present);
    relay.set(state);
    const fresh = dial();
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
        it(`${state}: a relay that lets data through would make proofs of partitions pass for no reason`, async () => {
            expect(await probe(state)).to.deep.equal(expected);
        })
    );
});
