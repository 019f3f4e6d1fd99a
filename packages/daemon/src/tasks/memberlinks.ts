/** Links and announcement of the membership task. */
import { chooseLinks, type MemberInfo, type MembersBody, type Membership, type MembersState } from "@damaskvale/core";
import type { EventLog } from "../ports/eventlog.js";
import type { PeerNetwork } from "../ports/peers.js";
import type { Stream } from "../ports/stream.js";

const ANNOUNCE_TIMEOUT_MILLISECONDS = 5_000;
const ANNOUNCE_INTERVAL_MILLISECONDS = 30_000;

/** Peer network whose links can also be closed. */
export interface LinkedNetwork extends PeerNetwork {
    /** Stops dialling an address. */
    disconnect(address: string): void;
}

/** Options of the links. */
export interface MemberLinksOptions {
    /** Peer addresses from the settings, `IP:PORT`. */
    readonly seeds: readonly string[];
    readonly network: LinkedNetwork;
    readonly eventLog: EventLog;
    /** The stream `members`, if it is followed. */
    readonly stream?: Stream<MembersState, MembersBody>;
}

/** Keeps links open to the chosen daemons, and announces this daemon in the members stream. */
export class MemberLinks {
    private readonly dialled = new Set<string>();
    private announcedAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: MemberLinksOptions) {}

    /**
     * Dials the daemons that are chosen among the live ones, those that would be chosen if dead daemons were alive, and
     * the addresses from the settings and the members stream that belong to no live daemon.
     */
    keep({ self, members }: Membership, live: readonly MemberInfo[]): void {
        const known = [...members.values()].map(({ info }) => info).filter(info => info.state !== "left");
        const announced = this.options.stream?.folded.current().state.announcements ?? [];
        const discovered = [
            ...this.options.seeds,
            ...(live.length === 1 ? announced.map(({ address }) => address) : []),
        ]
            .filter(address => address !== self.address && !live.some(info => info.address === address));
        const chosen = [...chooseLinks(self, live), ...chooseLinks(self, known)].map(info => info.address);
        const wanted = new Set([...chosen, ...discovered]);
        [...this.dialled].filter(address => !wanted.has(address)).forEach(address => {
            this.dialled.delete(address);
            this.options.network.disconnect(`ws://${address}`);
        });
        wanted.forEach(address => {
            this.dialled.add(address);
            this.options.network.connect(`ws://${address}`);
        });
    }

    /** Announces this daemon in the members stream: at the start, and periodically while it knows no live peer. */
    announce({ self }: Membership, live: readonly MemberInfo[], now: number): void {
        const { stream, eventLog } = this.options;
        const first = this.announcedAt === Number.NEGATIVE_INFINITY;
        const due = first || (live.length === 1 && now - this.announcedAt >= ANNOUNCE_INTERVAL_MILLISECONDS);
        if (stream === undefined || !due) {
            return;
        }
        this.announcedAt = now;
        const { daemon, dataCentre, address, incarnation } = self;
        stream.append(
            { kind: "announce", daemon, dataCentre, address, incarnation },
            { timeoutMilliseconds: ANNOUNCE_TIMEOUT_MILLISECONDS },
        ).catch((error: unknown) => eventLog.emit("taskFailed", { task: "membership", kind: "announce", error }));
    }
}
