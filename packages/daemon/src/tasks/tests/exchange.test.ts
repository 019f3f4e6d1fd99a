import { expect } from "chai";
import type { PeerMessage } from "../../messages.js";
import type { EventLog } from "../../ports/eventlog.js";
import type { PeerNetwork } from "../../ports/peers.js";
import { createStreamExchange } from "../exchange.js";
import { createAnswerStore } from "../recordedanswers.js";
import { withTimers } from "./streamfakes.js";

const silentLog: EventLog = { emit: () => undefined };

/** Network that records sent messages, and delivers the messages of a test. */
function recordingNetwork() {
    const sent: PeerMessage[] = [];
    const receivers = new Map<string, (from: string, message: never) => void>();
    const network: PeerNetwork = {
        send: (...[, message]) => sent.push(message) > 0,
        onMessage: (kind, receiver) => {
            receivers.set(kind, receiver as never);
        },
        connect: () => undefined,
        links: () => [],
    };
    return {
        network,
        sent,
        requestOf: (index: number) => (sent[index] as { request: string; }).request,
        deliver: (from: string, message: PeerMessage) => receivers.get(message.kind)?.(from, message as never),
    };
}

describe("requests to peers", () => {
    const body = new Uint8Array([1]);
    const answer = {
        kind: "answer" as const,
        found: true,
        status: 200,
        headers: {},
        body,
        outcome: "complete" as const,
    };

    it("are not settled by an answer to an earlier process of the same name", () =>
        withTimers(async advance => {
            const [before, after] = [recordingNetwork(), recordingNetwork()];
            const ask = ({ network }: typeof before) => [
                createStreamExchange(network, silentLog).fetchEntries("b", "s", 0),
                createAnswerStore(network, 1_000).fetch("b", "fees", "key"),
            ];
            void Promise.all(ask(before));
            const asked = ask(after);
            after.deliver("b", { kind: "entries", request: before.requestOf(0), stream: "s", entries: [] });
            after.deliver("b", { ...answer, request: before.requestOf(1) });
            await advance(1_100);
            expect(await Promise.all(asked)).to.deep.equal([undefined, undefined]);
        }));

    it("are answered at once when the state cannot be read, which is told", async () => {
        const recording = recordingNetwork();
        const events: string[] = [];
        const exchange = createStreamExchange(recording.network, { emit: name => void events.push(name) });
        exchange.serve("s", { entriesFrom: () => [], snapshot: () => Promise.reject(new Error("out of memory")) });
        recording.deliver("b", { kind: "fetchState", request: "r1", stream: "s" });
        await new Promise(resolve => setImmediate(resolve));
        expect(recording.sent).to.deep.equal([{ kind: "state", request: "r1", stream: "s", snapshot: undefined }]);
        expect(events).to.deep.equal(["taskFailed"]);
    });

    it("are not settled by an answer of another kind or peer", () =>
        withTimers(async advance => {
            const recording = recordingNetwork();
            const asked = createStreamExchange(recording.network, silentLog).fetchEntries("b", "s", 0);
            const request = recording.requestOf(0);
            recording.deliver("b", { kind: "state", request, stream: "s", snapshot: {} });
            recording.deliver("c", { kind: "entries", request, stream: "s", entries: [] });
            await advance(1_100);
            expect(await asked).to.equal(undefined);
        }));
});
