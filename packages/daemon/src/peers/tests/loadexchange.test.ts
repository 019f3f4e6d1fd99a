/** What one daemon knows of quarantined parts reaches the others at once, and later also those that missed it. */
import { createLoadTracker, createPeerLoads, type LeavingStatement, type QuarantineReport } from "@damaskvale/core";
import { expect } from "chai";
import { createSocket, type Socket } from "node:dgram";
import type { AddressInfo } from "node:net";
import { createDaemonList } from "../daemonlist.js";
import { type LoadExchange, startLoadExchange } from "../loadexchange.js";
import { decodeLoadMessage, encodeLoadMessage, type LoadMessage } from "../loadmessage.js";
import { encodeQuarantine } from "../quarantinemessage.js";

const LEAVING_AGE_MILLISECONDS = 500;
const SELF = { daemon: "d0", ip: "127.0.0.71", dataCentre: "x" };
const OTHER = { daemon: "d1", ip: "127.0.0.72", dataCentre: "x" };
const report: QuarantineReport = {
    crashes: [{ target: "t", startedAt: 1, parts: ["a"], at: 0 }],
    proven: [],
    statements: [],
};

describe("the exchange between daemons", () => {
    let socket: Socket;
    let exchange: LoadExchange;
    let hasUpdates = false;
    let configurationVersion = 0;
    let announces = false;
    const received: LoadMessage[] = [];
    const merged: { readonly report: QuarantineReport; readonly daemon: string; }[] = [];
    const malformed: unknown[] = [];
    const leaving: { readonly statement: LeavingStatement; readonly daemon: string; }[] = [];

    const takesRequests = new Map<string, boolean>();

    beforeEach(async () => {
        received.length = 0;
        merged.length = 0;
        leaving.length = 0;
        hasUpdates = false;
        configurationVersion = 0;
        announces = false;
        socket = createSocket("udp4");
        await new Promise<void>(resolve => socket.bind(0, OTHER.ip, resolve));
        socket.on("message", bytes => {
            const decoded = decodeLoadMessage(bytes);
            if (decoded.kind === "message") {
                received.push(decoded.message);
            }
        });
        const daemons = createDaemonList(SELF.daemon);
        const statedAt = performance.now() - LEAVING_AGE_MILLISECONDS;
        daemons.replace([SELF, OTHER]);
        exchange = startLoadExchange({
            clock: { monotonic: () => performance.now(), wall: () => 0 },
            log: { emit: (...[, fields]) => void malformed.push(fields) },
            self: SELF,
            daemons,
            port: (socket.address() as AddressInfo).port,
            loadTracker: createLoadTracker(),
            peerLoads: createPeerLoads(),
            onSuspicion: () => undefined,
            onMembership: () => undefined,
            limits: () => [],
            onLimit: () => undefined,
            leaving: () => [{ target: "t", startedAt: 1, statedAt }],
            onLeaving: (statement, daemon) => void leaving.push({ statement, daemon }),
            quarantine: () => report,
            hasQuarantineUpdates: () => hasUpdates,
            onQuarantine: (told, daemon) => void merged.push({ report: told, daemon }),
            takesRequests: () => true,
            onTakesRequests: (daemon, takes) => void takesRequests.set(daemon, takes),
            configurationVersion: () => configurationVersion,
            announcesConfiguration: () => announces,
            onNewerConfiguration: () => undefined,
        });
    });
    afterEach(() => {
        exchange.stop();
        socket.close();
    });

    const receiveFor = async (milliseconds: number): Promise<number> => {
        await new Promise(resolve => setTimeout(resolve, milliseconds));
        return received.filter(({ quarantine }) => quarantine !== undefined).length;
    };

    [true, false].forEach(isWatcher => {
        it(`tells a new configuration ${isWatcher ? "at once" : "with the next loads"}`, async () => {
            while (received.length < 2) {
                await receiveFor(10);
            }
            received.length = 0;
            announces = isWatcher;
            configurationVersion = 7;
            await receiveFor(400);
            expect(received.map(message => message.configurationVersion)).to.deep.equal(isWatcher ? [7] : []);
        });
    });

    it("tells a change at once", async () => {
        exchange.broadcastKnowledge();
        expect(await receiveFor(50)).to.equal(1);
        expect(received[0]?.quarantine?.crashes[0]?.target).to.equal("t");
    });

    it("tells and takes over at once which targets leave, by the age of their statements", async () => {
        exchange.broadcastKnowledge();
        await receiveFor(50);
        const { leaving: told = [] } = received[0] ?? {};
        expect(told).to.have.length(1);
        expect(told[0]).to.include({ target: "t", startedAt: 1 });
        expect(told[0]?.ageMilliseconds).to.be.within(LEAVING_AGE_MILLISECONDS, LEAVING_AGE_MILLISECONDS + 50);
        const { port } = socket.address() as AddressInfo;
        const message = { ...(received[0] as LoadMessage), daemon: OTHER.daemon, quarantine: undefined };
        socket.send(encodeLoadMessage(message), port, SELF.ip);
        await receiveFor(50);
        expect(leaving.map(({ statement: { target, startedAt }, daemon }) => [target, startedAt, daemon]))
            .to.deep.equal([["t", 1, OTHER.daemon]]);
    });

    it("tells a daemon that missed it or is new within a second", async () => {
        expect(await receiveFor(1_100)).to.be.within(1, 2);
    });

    it("tells news often", async () => {
        hasUpdates = true;
        expect(await receiveFor(1_100)).to.be.at.least(4);
    });

    it("merges what another daemon tells, and reads messages of earlier versions", async () => {
        const { port } = socket.address() as AddressInfo;
        const message: Omit<LoadMessage, "takesRequests"> = {
            daemon: OTHER.daemon,
            configurationVersion: 0,
            loads: [],
            suspects: [],
            memberships: [],
            limits: [],
            leaving: [],
        };
        const quarantine = encodeQuarantine({ ...report, crashes: [], proven: [{ part: "a", at: 0 }] }, 100);
        [message, { ...message, quarantine }].forEach(sent =>
            socket.send(encodeLoadMessage(sent as LoadMessage), port, SELF.ip)
        );
        await receiveFor(50);
        expect(merged.map(({ daemon, report: { proven } }) => [daemon, proven[0]?.part])).to.deep.equal([["d1", "a"]]);
        expect(malformed).to.deep.equal([]);
        expect([...takesRequests]).to.deep.equal([[OTHER.daemon, false]]);
    });
});
