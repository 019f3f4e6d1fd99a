/** Exchanges entries and states of streams between daemons. One exchange serves all streams of a daemon. */
import type { Entry } from "@damaskvale/core";
import { randomUUID } from "node:crypto";
import type { EventLog } from "../ports/eventlog.js";
import type { PeerNetwork } from "../ports/peers.js";

/** Data of one stream that other daemons can fetch. */
export interface StreamSource {
    /** Returns entries from an offset, or none if they are no longer in memory. */
    entriesFrom(from: number): readonly Entry[];
    /** Returns a snapshot of the newest state. */
    snapshot(): Promise<unknown>;
}

/** Exchange of entries and states with other daemons. Resolves with `undefined` if a peer does not answer in time. */
export interface StreamExchange {
    serve(stream: string, source: StreamSource): void;
    /** Names of the peers with an open link. */
    peers(): readonly string[];
    fetchEntries(peer: string, stream: string, from: number): Promise<readonly Entry[] | undefined>;
    fetchState(peer: string, stream: string): Promise<unknown>;
}

type AnswerKind = "entries" | "state";

const ANSWER_TIMEOUT_MILLISECONDS = 1_000;

/** Creates the exchange and registers its receivers. */
export function createStreamExchange(network: PeerNetwork, events: EventLog): StreamExchange {
    const sources = new Map<string, StreamSource>();
    const waiting = new Map<string, (answer: unknown) => void>();

    /** Request ids are unique across processes, so an answer to an earlier process of this name settles no request. */
    const sendRequest = <Answer>(
        peer: string,
        kind: AnswerKind,
        send: (request: string) => boolean,
    ): Promise<Answer | undefined> =>
        new Promise(resolve => {
            const request = randomUUID();
            const key = requestKey(peer, kind, request);
            const timer = setTimeout(() => settle(key, undefined), ANSWER_TIMEOUT_MILLISECONDS);
            waiting.set(key, answer => {
                clearTimeout(timer);
                resolve(answer as Answer | undefined);
            });
            if (!send(request)) {
                settle(key, undefined);
            }
        });

    const settle = (key: string, answer: unknown): void => {
        const resolve = waiting.get(key);
        waiting.delete(key);
        resolve?.(answer);
    };

    /** Sends the newest state. Without one, the peer is informed at once and need not wait for its timeout. */
    const sendState = async (peer: string, request: string, stream: string): Promise<void> => {
        let snapshot: unknown;
        try {
            snapshot = await sources.get(stream)?.snapshot();
        }
        finally {
            network.send(peer, { kind: "state", request, stream, snapshot });
        }
    };

    network.onMessage("fetchEntries", (from, { request, stream, from: offset }) => {
        const entries = [...sources.get(stream)?.entriesFrom(offset) ?? []];
        network.send(from, { kind: "entries", request, stream, entries });
    });
    network.onMessage("fetchState", (from, { request, stream }) => {
        sendState(from, request, stream)
            .catch((error: unknown) => events.emit("taskFailed", { task: `state of ${stream} for ${from}`, error }));
    });
    network.onMessage("entries", (from, { request, entries }) => settle(requestKey(from, "entries", request), entries));
    network.onMessage("state", (from, { request, snapshot }) => settle(requestKey(from, "state", request), snapshot));

    return {
        serve: (stream, source) => {
            sources.set(stream, source);
        },
        peers: () => network.links().filter(({ connected }) => connected).map(({ daemon }) => daemon),
        fetchEntries: (peer, stream, from) =>
            sendRequest<Entry[]>(
                peer,
                "entries",
                request => network.send(peer, { kind: "fetchEntries", request, stream, from }),
            ),
        fetchState: (peer, stream) =>
            sendRequest<unknown>(peer, "state", request => network.send(peer, { kind: "fetchState", request, stream })),
    };
}

function requestKey(peer: string, kind: AnswerKind, request: string): string {
    return `${peer} ${kind} ${request}`;
}
