/** Finds the newest state of a stream outside the process: in the snapshots of the log and at peers. */
import { decodeSnapshot, encodeSnapshot, type FoldDefinition, type Folded, type Snapshot } from "@damaskvale/core";
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
    readonly folded: Folded<State>;
    readonly source: "peer" | "snapshot";
}

/** Source of states. */
export interface StateSource<State> {
    /** Returns the state with the highest offset above `above`. */
    newest(above: number): Promise<FoundState<State> | undefined>;
    fromPeer(peer: string): Promise<Folded<State> | undefined>;
    encode(folded: Folded<State>): Snapshot;
}

/** Peers asked at once. */
const MAXIMUM_PEERS = 3;

/** Makes the source of states of a stream. */
export function createStateSource<State, Body>(
    { name, definition, exchange, events }: StateSourceOptions<State, Body>,
    snapshots: SnapshotStore,
): StateSource<State> {
    let encoded: Snapshot | undefined;

    const decode = (snapshot: unknown): Folded<State> | undefined => {
        const decoded = decodeSnapshot(definition, name, snapshot);
        if (decoded.err) {
            events.emit("snapshotFailed", { stream: name, issue: decoded.val });
            return undefined;
        }
        return decoded.val;
    };

    const fromPeer = async (peer: string): Promise<Folded<State> | undefined> => {
        const snapshot = await exchange.fetchState(peer, name);
        return snapshot === undefined ? undefined : decode(snapshot);
    };

    const fromLog = async (above: number): Promise<Folded<State> | undefined> => {
        const found = await snapshots.load(above) ?? [];
        return found.reduce<Folded<State> | undefined>((folded, snapshot) => folded ?? decode(snapshot), undefined);
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
                encoded = encodeSnapshot(name, folded);
            }
            return encoded;
        },
    };
}
