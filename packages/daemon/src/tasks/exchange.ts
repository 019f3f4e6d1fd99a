/** Entries and states of streams between daemons. One exchange serves all streams of a daemon. */
import type { Entry } from "@damaskvale/core";
import type { PeerNetwork } from "../ports/peers.js";

/** What one stream gives to other daemons. */
export interface StreamSource {
    /** Returns entries from an offset, or none if they are no longer in memory. */
    entriesFrom(from: number): readonly Entry[];
    /** Returns a snapshot of the newest state. */
    snapshot(): Promise<unknown>;
}

/** Exchange of entries and states with other daemons. A peer that does not answer in time gives `undefined`. */
export interface StreamExchange {
    serve(stream: string, source: StreamSource): void;
    /** Names of the peers with an open link. */
    peers(): readonly string[];
    fetchEntries(peer: string, stream: string, from: number): Promise<readonly Entry[] | undefined>;
    fetchState(peer: string, stream: string): Promise<unknown>;
}

const ANSWER_TIMEOUT_MILLISECONDS = 1_000;

/** Makes the exchange and registers its receivers. */
export function createStreamExchange(network: PeerNetwork): StreamExchange {
    const sources = new Map<string, StreamSource>();
    const waiting = new Map<string, (answer: unknown) => void>();
    let requests = 0;

    const ask = <Answer>(send: (request: string) => boolean): Promise<Answer | undefined> =>
        new Promise(resolve => {
            requests += 1;
            const request = String(requests);
            const timer = setTimeout(() => settle(request, undefined), ANSWER_TIMEOUT_MILLISECONDS);
            waiting.set(request, answer => {
                clearTimeout(timer);
                resolve(answer as Answer | undefined);
            });
            if (!send(request)) {
                settle(request, undefined);
            }
        });

    const settle = (request: string, answer: unknown): void => {
        const resolve = waiting.get(request);
        waiting.delete(request);
        resolve?.(answer);
    };

    network.receive("fetchEntries", (from, { request, stream, from: offset }) => {
        const entries = [...sources.get(stream)?.entriesFrom(offset) ?? []];
        network.send(from, { kind: "entries", request, stream, entries });
    });
    network.receive("fetchState", (from, { request, stream }) => {
        const snapshot = sources.get(stream)?.snapshot() ?? Promise.resolve(undefined);
        void snapshot.then(value => network.send(from, { kind: "state", request, stream, snapshot: value }));
    });
    network.receive("entries", (...[, { request, entries }]) => settle(request, entries));
    network.receive("state", (...[, { request, snapshot }]) => settle(request, snapshot));

    return {
        serve: (stream, source) => {
            sources.set(stream, source);
        },
        peers: () => network.links().filter(({ connected }) => connected).map(({ daemon }) => daemon),
        fetchEntries: (peer, stream, from) =>
            ask<Entry[]>(request => network.send(peer, { kind: "fetchEntries", request, stream, from })),
        fetchState: (peer, stream) =>
            ask<unknown>(request => network.send(peer, { kind: "fetchState", request, stream })),
    };
}
