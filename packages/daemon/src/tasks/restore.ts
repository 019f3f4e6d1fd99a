/** Finds the newest state of a stream outside the process: in the snapshots of the log and at peers. */
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

/** What the search needs. */
export interface StateSourceOptions<State, Body> {
    readonly name: string;
    readonly definition: FoldDefinition<State, Body>;
    readonly exchange: StreamExchange;
    readonly events: EventLog;
}

/** A state found, and where. */
export interface FoundState<State> {
    readonly folded: FoldState<State>;
    readonly source: "peer" | "snapshot";
}

/** Source of states. */
export interface StateSource<State> {
    /** Returns the state with the highest offset above `above`. */
    newest(above: number): Promise<FoundState<State> | undefined>;
    fromPeer(peer: string): Promise<FoldState<State> | undefined>;
    /** Encodes in small steps; the newest result is kept for peers that ask at the same offset. */
    encode(folded: FoldState<State>): Promise<Snapshot>;
}

/** Peers asked at once. */
const MAXIMUM_PEERS = 3;

/** Makes the source of states of a stream. */
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

    const fromPeer = async (peer: string): Promise<FoldState<State> | undefined> => {
        const snapshot = await exchange.fetchState(peer, name);
        return snapshot === undefined ? undefined : decode(snapshot);
    };

    const fromLog = async (above: number): Promise<FoldState<State> | undefined> => {
        const found = await snapshots.load(above) ?? [];
        return found.reduce<FoldState<State> | undefined>((folded, snapshot) => folded ?? decode(snapshot), undefined);
    };

    return {
        newest: async above => {
            const peers = exchange.peers().slice(0, MAXIMUM_PEERS);
            const [snapshot, ...states] = await Promise.all([fromLog(above), ...peers.map(fromPeer)]);
            const found: FoundState<State>[] = [
                ...(snapshot === undefined ? [] : [{ folded: snapshot, source: "snapshot" as const }]),
                ...states.flatMap(folded => folded === undefined ? [] : [{ folded, source: "peer" as const }]),
            ];
            return found
                .filter(({ folded }) => folded.nextOffset > above)
                .sort((left, right) => right.folded.nextOffset - left.folded.nextOffset)[0];
        },
        fromPeer,
        encode: folded => {
            if (encoded?.nextOffset !== folded.nextOffset) {
                encoded = { nextOffset: folded.nextOffset, snapshot: encodeGradually(name, folded) };
            }
            return encoded.snapshot;
        },
    };
}

/** Lets other work run between the steps of a large state. A small one takes a single step and does not wait. */
async function encodeGradually<State>(name: string, folded: FoldState<State>): Promise<Snapshot> {
    const steps = encodeSnapshotSteps(name, folded);
    let step = steps.next();
    while (step.done !== true) {
        await new Promise(resolve => setImmediate(resolve));
        step = steps.next();
    }
    return step.value;
}
