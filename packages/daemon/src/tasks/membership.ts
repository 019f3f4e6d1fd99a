/** Task that probes the other daemons, gossips with them, and maintains the links. */
import {
    chooseGossip,
    chooseLinks,
    chooseProbes,
    createMembership,
    DEMAND_WINDOW_MILLISECONDS,
    leave,
    liveMembers,
    type MemberInfo,
    type Membership,
    mergeMembers,
    recordAcknowledgement,
    tick,
} from "@damaskvale/core";
import type { PeerMessageOf, RelayedDemand, SharedObservation } from "../messages.js";
import type { Clock } from "../ports/clock.js";
import type { Metrics } from "../ports/metrics.js";
import { createMailbox } from "./mailbox.js";
import { MemberLinks, type MemberLinksOptions } from "./memberlinks.js";
import { createPublished, type Published } from "./published.js";

/** Time between two steps of the task. */
export const MEMBERSHIP_STEP_INTERVAL_MILLISECONDS = 250;
/** Probes per second to daemons of other data centres. */
export const PROBES_PER_SECOND = 3;
/**
 * Interval between two probes of a daemon of the local data centre, which grows with the number of peers. Observations
 * of hosts must arrive well within `CONFIRMATION_BOUND_MILLISECONDS`: with the poll interval they are at most 1,500 ms
 * old when the next ones arrive. With many peers the longest interval halves the traffic, and each host has a second
 * observer.
 */
export const LOCAL_PROBE_INTERVAL_MILLISECONDS = { shortest: 500, perPeer: 100, longest: 1_000 };
const LINK_INTERVAL_MILLISECONDS = 1_000;
const PROBE_TIMEOUT_MILLISECONDS = 10_000;

/** State that a daemon shares with its peers in addition to its membership. */
export interface SharedState {
    offsets(): Readonly<Record<string, number>>;
    demand(): Readonly<Record<string, number>>;
    /** Models that have dispatchable groups in the local data centre. */
    models(): readonly string[];
    /** This daemon's observations of hosts, with their current age. */
    observations(): readonly SharedObservation[];
}

/** Options of the membership task. */
export interface MembershipOptions extends MemberLinksOptions {
    readonly self: Pick<MemberInfo, "daemon" | "dataCentre" | "address" | "incarnation">;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly seed: number;
    readonly shared: SharedState;
    /** Called with the offsets of streams that a peer reports. */
    onOffsets(daemon: string, offsets: Readonly<Record<string, number>>): void;
    /** Called with the demand that a peer reports for itself or relays for its data centre, with its current age. */
    onDemand(statements: readonly RelayedDemand[]): void;
    /**
     * Called with the observations of a peer. Each was true `ageMilliseconds` before `sentAt` of this daemon's clock, or
     * later.
     */
    onObservations(daemon: string, observations: readonly SharedObservation[], sentAt: number): void;
}

/** What is known about one daemon. */
export interface MemberView {
    readonly info: MemberInfo;
    readonly demand: Readonly<Record<string, number>>;
    readonly models: readonly string[];
}

/** Members as published to the other tasks. */
export interface MembersView {
    readonly self: MemberInfo;
    /** Daemons that are neither dead nor left, this one included, in name order. */
    readonly live: readonly MemberInfo[];
    /** All other known daemons, with the state that they reported last. */
    readonly others: readonly MemberView[];
}

type Message =
    | { readonly kind: "step"; }
    | { readonly kind: "probe"; readonly from: string; readonly message: PeerMessageOf<"probe">; }
    | { readonly kind: "acknowledge"; readonly from: string; readonly message: PeerMessageOf<"acknowledge">; };

interface PeerState {
    readonly demand: Readonly<Record<string, number>>;
    readonly models: readonly string[];
}

/** The membership task. */
export class MembershipTask {
    private membership: Membership;
    private sequence = 0;
    private linksUpdatedAt = Number.NEGATIVE_INFINITY;
    private seedCount = 0;
    private timer: NodeJS.Timeout | undefined;
    private readonly pendingProbes = new Map<number, { readonly daemon: string; readonly sentAt: number; }>();
    private readonly probedAt = new Map<string, number>();
    private readonly peerStates = new Map<string, PeerState>();
    private readonly peerStateTimes = new Map<string, number>();
    private readonly links;
    private readonly published;
    private readonly mailbox;

    constructor(private readonly options: MembershipOptions) {
        const { network, clock, eventLog, self } = options;
        this.membership = createMembership({ ...self, revision: 0, state: "alive" }, clock.monotonic());
        this.links = new MemberLinks(options);
        this.published = createPublished<MembersView>(this.createView());
        this.mailbox = createMailbox<Message>({
            step: () => this.step(),
            probe: ({ from, message }) => this.answer(from, message),
            acknowledge: ({ from, message }) => this.handleAcknowledgement(from, message),
        }, (error, kind) => eventLog.emit("taskFailed", { task: "membership", kind, error }));
        network.onMessage("probe", (from, message) => this.mailbox.post({ kind: "probe", from, message }));
        network.onMessage("acknowledge", (from, message) => this.mailbox.post({ kind: "acknowledge", from, message }));
    }

    /** Members that are known now. */
    get members(): Published<MembersView> {
        return this.published;
    }

    /** Starts probing. */
    start(): void {
        this.mailbox.post({ kind: "step" });
        this.timer = setInterval(() => this.mailbox.post({ kind: "step" }), MEMBERSHIP_STEP_INTERVAL_MILLISECONDS);
    }

    /** Stops, and notifies the linked daemons that this daemon leaves intentionally. */
    async stop(): Promise<void> {
        clearInterval(this.timer);
        await this.mailbox.close();
        this.membership = leave(this.membership);
        this.options.network.links().forEach(link => this.probe(link.daemon, this.options.clock.monotonic()));
    }

    private step(): void {
        const now = this.options.clock.monotonic();
        this.change(tick(this.membership, now));
        [...this.pendingProbes].filter(([, { sentAt }]) => now - sentAt > PROBE_TIMEOUT_MILLISECONDS)
            .forEach(([sequence]) => this.pendingProbes.delete(sequence));
        if (now - this.linksUpdatedAt >= LINK_INTERVAL_MILLISECONDS) {
            this.linksUpdatedAt = now;
            const live = liveMembers(this.membership);
            this.links.keep(this.membership, live);
            this.links.announce(this.membership, live, now);
        }
        this.probeLocalDataCentre(now);
        this.probeOtherDataCentres(now);
        this.reportGauges();
    }

    /** Probes linked daemons of the local data centre, and linked peers that are not known yet. */
    private probeLocalDataCentre(now: number): void {
        const { dataCentre } = this.options.self;
        const { shortest, perPeer, longest } = LOCAL_PROBE_INTERVAL_MILLISECONDS;
        const peers = liveMembers(this.membership).filter(info => info.dataCentre === dataCentre).length - 1;
        const interval = Math.min(longest, Math.max(shortest, peers * perPeer));
        const due = this.options.network.links()
            .filter(link => link.dataCentre === dataCentre || !this.membership.members.has(link.daemon))
            .filter(link => now - (this.probedAt.get(link.daemon) ?? Number.NEGATIVE_INFINITY) >= interval)
            .map(link => link.daemon);
        const chosen = chooseProbes({ ...this.membership, round: due }, new Set(due), due.length, 0, now);
        this.membership = { ...chosen.membership, round: this.membership.round };
        due.forEach(daemon => this.probe(daemon, now));
    }

    /** Probes in turn: linked daemons of other data centres, live local daemons without a link, and dead daemons. */
    private probeOtherDataCentres(now: number): void {
        const near = new Set(
            this.options.network.links()
                .filter(link => link.dataCentre === this.options.self.dataCentre).map(link => link.daemon),
        );
        const wanted = chooseLinks(this.membership.self, liveMembers(this.membership)).map(info => info.daemon);
        const reachable = new Set(wanted.filter(daemon => !near.has(daemon)));
        const due = Math.floor(now * PROBES_PER_SECOND / 1_000)
            - Math.floor((now - MEMBERSHIP_STEP_INTERVAL_MILLISECONDS) * PROBES_PER_SECOND / 1_000);
        const chosen = chooseProbes(this.membership, reachable, due, this.nextSeed(), now);
        this.membership = chosen.membership;
        chosen.targets.forEach(daemon => this.probe(daemon, now));
    }

    private probe(daemon: string, now: number): void {
        this.sequence += 1;
        this.probedAt.set(daemon, now);
        const message = { kind: "probe" as const, sequence: this.sequence, sentAt: now, ...this.createGossip(daemon) };
        if (this.options.network.send(daemon, message)) {
            this.pendingProbes.set(this.sequence, { daemon, sentAt: now });
        }
    }

    private answer(from: string, message: PeerMessageOf<"probe">): void {
        const { sequence, sentAt } = message;
        this.receiveGossip(from, message);
        const near = this.membership.members.get(from)?.info.dataCentre === this.options.self.dataCentre;
        this.options.network.send(from, {
            kind: "acknowledge",
            sequence,
            sentAt,
            ...this.createGossip(from),
            observations: near ? [...this.options.shared.observations()] : [],
        });
    }

    private handleAcknowledgement(from: string, message: PeerMessageOf<"acknowledge">): void {
        const pending = this.pendingProbes.get(message.sequence);
        if (pending?.daemon !== from) {
            return;
        }
        this.pendingProbes.delete(message.sequence);
        this.membership = recordAcknowledgement(this.membership, from);
        this.receiveGossip(from, message);
        this.options.onObservations(from, message.observations, pending.sentAt);
    }

    private receiveGossip(from: string, message: PeerMessageOf<"probe"> | PeerMessageOf<"acknowledge">): void {
        const { members, offsets, demand, models = [], relayed = [] } = message;
        const peerState = { demand, models };
        const previous = this.peerStates.get(from);
        const now = this.options.clock.monotonic();
        this.peerStates.set(from, peerState);
        this.peerStateTimes.set(from, now);
        this.change(mergeMembers(this.membership, members, now));
        this.options.onDemand([
            { daemon: from, demand, ageMilliseconds: 0 },
            ...relayed.filter(({ daemon }) => daemon !== this.options.self.daemon && daemon !== from),
        ]);
        if (JSON.stringify(previous) !== JSON.stringify(peerState)) {
            this.published.publish(this.createView());
        }
        this.options.onOffsets(from, offsets);
    }

    private createGossip(
        peer: string,
    ): Pick<PeerMessageOf<"probe">, "members" | "offsets" | "demand" | "models" | "relayed"> {
        const { shared } = this.options;
        const chosen = chooseGossip(this.membership, peer, this.nextSeed());
        this.membership = chosen.membership;
        return {
            members: [...chosen.members],
            offsets: { ...shared.offsets() },
            demand: { ...shared.demand() },
            models: [...shared.models()],
            relayed: this.relayedDemand(peer),
        };
    }

    /**
     * Returns the demand of the local data centre for a peer in another one. Data centres are connected by a few links
     * only, so their daemons would otherwise receive only a part of the demand. Demand that a daemon has not reported
     * within the window is left out.
     */
    private relayedDemand(peer: string): RelayedDemand[] | undefined {
        const { dataCentre } = this.options.self;
        const near = [...this.membership.members.values()].map(({ info }) => info)
            .filter(info => info.dataCentre === dataCentre && info.state === "alive");
        if (near.some(({ daemon }) => daemon === peer) || !this.membership.members.has(peer)) {
            return undefined;
        }
        const now = this.options.clock.monotonic();
        return near
            .map(({ daemon }) => ({
                daemon,
                demand: { ...this.peerStates.get(daemon)?.demand },
                ageMilliseconds: now - (this.peerStateTimes.get(daemon) ?? Number.NEGATIVE_INFINITY),
            }))
            .filter(({ ageMilliseconds }) => ageMilliseconds < DEMAND_WINDOW_MILLISECONDS);
    }

    private change(next: Membership): void {
        const before = this.membership;
        this.membership = next;
        const changed = [...next.members.values()].filter(({ info }) =>
            before.members.get(info.daemon)?.info.state !== info.state
        );
        changed.forEach(({ info }) =>
            this.options.eventLog.emit("memberChanged", { peer: info.daemon, state: info.state })
        );
        const same = before.self === next.self && before.members.size === next.members.size
            && [...next.members.values()].every(({ info }) => before.members.get(info.daemon)?.info === info);
        if (!same) {
            this.published.publish(this.createView());
        }
    }

    private createView(): MembersView {
        const others = [...this.membership.members.values()].map(({ info }) => ({
            info,
            demand: this.peerStates.get(info.daemon)?.demand ?? {},
            models: this.peerStates.get(info.daemon)?.models ?? [],
        }));
        return { self: this.membership.self, live: liveMembers(this.membership), others };
    }

    private reportGauges(): void {
        const states = [...this.membership.members.values()].map(({ info }) => info.state);
        (["alive", "suspect", "dead", "left"] as const).forEach(state =>
            this.options.metrics.gauge("members", states.filter(memberState => memberState === state).length, { state })
        );
    }

    private nextSeed(): number {
        this.seedCount += 1;
        return this.options.seed + this.seedCount;
    }
}
