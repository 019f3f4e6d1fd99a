/** Guards against requests that waited for a connection to a target when its data centre was evacuated, and were sent then. */
import { expect } from "chai";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { createPlainRelay } from "../../relay/plainrelay.js";
import { createStreamRelay } from "../../relay/streamrelay.js";
import { createTargetConnections, type TargetConnections } from "../../relay/targetconnections.js";
import { wait } from "../../relay/tests/callerfixture.js";
import { createRelayFixture, noResponse, type RelayFixture } from "../../relay/tests/fixture.js";

const EVACUATED = "evacuated";
const EARLIER = { method: "GET", path: "/", headers: [], body: Buffer.alloc(0), onNewConnection: false };

/** Target that runs the earlier request until it is told to answer, and never answers another one. */
class Target {
    /** Number of requests that were received, without the earlier one. */
    runs = 0;
    private earlier: Socket | undefined;
    private readonly sockets: Socket[] = [];
    private readonly server: Server = createServer(socket => {
        this.sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", bytes => {
            if (bytes.toString().startsWith("GET")) {
                this.earlier = socket;
            }
            else {
                this.runs += 1;
            }
        });
    });

    async listen(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    answerEarlier(): void {
        this.earlier?.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }

    close(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }
}

describe("a request that waits for a connection when its data centre is evacuated", () => {
    let isEvacuated: boolean;
    let targets: Readonly<Record<"a" | "b", Target>>;
    let connections: TargetConnections;

    beforeEach(async () => {
        isEvacuated = false;
        targets = { a: new Target(), b: new Target() };
        const addresses: Readonly<Record<string, string>> = {
            "a:1": await targets.a.listen(),
            "b:1": await targets.b.listen(),
        };
        const real = createTargetConnections({ connectionsPerTarget: 1, connectTimeoutMilliseconds: 500 });
        connections = { ...real, send: (address, ...rest) => real.send(addresses[address] ?? "", ...rest) };
    });
    afterEach(() => Object.values(targets).forEach(target => target.close()));

    const start = (kind: "repeatable" | "once" | "stream", hasOther: boolean): RelayFixture => {
        const fixture = createRelayFixture({
            kind,
            targets: hasOther ? ["a", "b"] : ["a"],
            timeoutMilliseconds: 1_000,
            isEvacuated: dataCentre => isEvacuated && dataCentre === EVACUATED,
        });
        const { state } = fixture.parts;
        const [target] = state.targets();
        state.applyTargets(target === undefined ? [] : [{ key: "a", value: { ...target, dataCentre: EVACUATED } }]);
        // The first choice is the evacuated target.
        const parts = { ...fixture.parts, connections, dataCentre: EVACUATED };
        const create = kind === "stream" ? createStreamRelay : createPlainRelay;
        create(fixture.context, parts, () => undefined).start();
        return fixture;
    };
    const evacuate = ({ parts }: RelayFixture): void => {
        isEvacuated = true;
        parts.state.applyEvacuations();
    };
    const runs = (): Readonly<Record<"a" | "b", number>> => ({ a: targets.a.runs, b: targets.b.runs });

    (["repeatable", "stream"] as const).forEach(kind => {
        it(`goes elsewhere if the connection is in use until then: ${kind}`, async () => {
            connections.send("a:1", EARLIER, noResponse);
            await wait(30);
            const fixture = start(kind, true);
            await wait(30);
            evacuate(fixture);
            targets.a.answerEarlier();
            await wait(60);
            expect(runs()).to.deep.equal({ a: 0, b: 1 });
        });
    });

    (["repeatable", "once", "stream"] as const).forEach(kind => {
        it(`goes elsewhere if the connection is accepted after that: ${kind}`, async () => {
            evacuate(start(kind, true));
            await wait(60);
            expect(runs()).to.deep.equal({ a: 0, b: 1 });
        });

        it(`is refused as not run if there is no other target: ${kind}`, async () => {
            const fixture = start(kind, false);
            evacuate(fixture);
            await wait(60);
            expect([fixture.caller.status, runs()]).to.deep.equal([503, { a: 0, b: 0 }]);
        });
    });

    it("is not sent to the target after its caller has left", async () => {
        const fixture = start("once", true);
        fixture.caller.leave();
        evacuate(fixture);
        await wait(60);
        expect(runs()).to.deep.equal({ a: 0, b: 0 });
    });
});
