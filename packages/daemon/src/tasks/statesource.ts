/** Finds the newest state of a stream outside this process: in the snapshots of the log and at peers. */
import {
    decodeSnapshot,
    encodeSnapshotSteps,
    type FoldDefinition,
    type FoldState,
    type Snapshot,
} from "@damaskvale/core";
import type { EventLog } from "../ports/eventlog.js";
import type { StreamExchange } from "./exchange.js";
import type { SnapshotStore } from "./snapshots.js";

/** Options of a state source. */
export interface StateSourceOptions<State, Body> {
    readonly name: string;
    readonly definition: FoldDefinition<State, Body>;
    readonly exchange: StreamExchange;
    readonly events: EventLog;
}

/** A state and where it was found. */
export interface FoundState<State> {
    readonly folded: FoldState<State>;
    readonly source: "peer" | "snapshot";
}

/** Source of the states of one stream. */
export interface StateSource<State> {
    /** Returns the state with the highest offset above `above`. */
    findNewest(above: number): Promise<FoundState<State> | undefined>;
    fetchFromPeer(peer: string): Promise<FoldState<State> | undefined>;
    /** Encodes a state in small steps. The last result is cached for peers that request the same offset. */
    encode(folded: FoldState<State>): Promise<Snapshot>;
}

/** Peers that are asked concurrently. */
const MAXIMUM_PEERS = 3;

/** Creates the state source of a stream. */
export function createStateSource<State, Body>(
    { name, definition, exchange, events }: StateSourceOptions<State, Body>,
    snapshots: SnapshotStore,
): StateSource<State> {
    let encoded: { readonly nextOffset: number; readonly snapshot: Promise<Snapshot>; } | undefined;

    const decode = (snapshot: unknown): FoldState<State> | undefined => {
        const decoded = decodeSnapshot(definition, name, snapshot);
        if (decoded.err) {
            events.emit("snapshotFailed", { stream: name, issue: decoded.val });
            return undefined;
        }
        return decoded.val;
    };

    const fetchFromPeer = async (peer: string): Promise<FoldState<State> | undefined> => {
        const snapshot = await exchange.fetchState(peer, name);
        return snapshot === undefined ? undefined : decode(snapshot);
    };

    const loadFromLog = async (above: number): Promise<FoldState<State> | undefined> => {
        const found = await snapshots.load(above) ?? [];
        return found.reduce<FoldState<State> | undefined>((folded, snapshot) => folded ?? decode(snapshot), undefined);
    };

    return {
        findNewest: async above => {
            const peers = exchange.peers().slice(0, MAXIMUM_PEERS);
            const [snapshot, ...states] = await Promise.all([loadFromLog(above), ...peers.map(fetchFromPeer)]);
            const found: FoundState<State>[] = [
                ...(snapshot === undefined ? [] : [{ folded: snapshot, source: "snapshot" as const }]),
                ...states.flatMap(folded => folded === undefined ? [] : [{ folded, source: "peer" as const }]),
            ];
            return found
                .filter(({ folded }) => folded.nextOffset > above)
                .sort((left, right) => right.folded.nextOffset - left.folded.nextOffset)[0];
        },
        fetchFromPeer: fetchFromPeer,
        encode: folded => {
            if (encoded?.nextOffset !== folded.nextOffset) {
                encoded = { nextOffset: folded.nextOffset, snapshot: encodeInSteps(name, folded) };
            }
            return encoded.snapshot;
        },
    };
}

/** Yields to the event loop between the steps of a large state. A small state takes one step and does not yield. */
async function encodeInSteps<State>(name: string, folded: FoldState<State>): Promise<Snapshot> {
    const steps = encodeSnapshotSteps(name, folded);
    let step = steps.next();
    while (step.done !== true) {
        await new Promise(resolve => setImmediate(resolve));
        step = steps.next();
    }
    return step.value;
}
