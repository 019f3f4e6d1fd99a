/**
 * Membership of the daemons: a gossip protocol with failure detection by probes, as pure functions on an immutable
 * state. Times are monotonic milliseconds of the caller. Random choices are derived from a seed.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";

/** A member that has not acknowledged a probe for this long becomes suspect. */
export const ACKNOWLEDGE_TIMEOUT_MILLISECONDS = 1_000;
/** A suspect member that has not refuted the suspicion for this long is declared dead. */
export const SUSPICION_TIMEOUT_MILLISECONDS = 3_000;
/** Dead members are retained and probed for this long, which exceeds the duration of partitions between regions. */
export const DEAD_RETENTION_MILLISECONDS = 7_200_000;
/**
 * If the time between two ticks exceeds this, this process was paused. Missing acknowledgements then say nothing about
 * the other members, so the timeouts are extended by the pause.
 */
export const PAUSE_THRESHOLD_MILLISECONDS = 900;
/** Maximum number of members in one message. */
export const MAXIMUM_MEMBERS_PER_MESSAGE = 8;

/** State of a member as exchanged between daemons. */
export type MemberState = "alive" | "suspect" | "dead" | "left";

/** Information about a member, as exchanged between daemons. A member increments `revision` to refute a false state. */
export interface MemberInfo {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly incarnation: string;
    readonly revision: number;
    readonly state: MemberState;
}

/** What this daemon knows about another member. */
export interface KnownMember {
    readonly info: MemberInfo;
    /** Time at which the current state was learned. */
    readonly since: number;
    /** Time at which the oldest unacknowledged probe was sent. */
    readonly unansweredSince?: number;
    /** Number of further messages that carry this information. */
    readonly remainingTransmissions: number;
}

/** State of the protocol on one daemon. */
export interface Membership {
    readonly self: MemberInfo;
    readonly members: ReadonlyMap<string, KnownMember>;
    /** Members still to be probed in this round. */
    readonly round: readonly string[];
    readonly lastTickAt: number;
}

const stateRanks: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** Creates the state of a daemon that knows no other daemon. */
export function createMembership(self: MemberInfo, now: number): Membership {
    return { self, members: new Map(), round: [], lastTickAt: now };
}

/**
 * Returns whether `candidate` replaces `current`, both about the same daemon. The higher revision wins; at the same
 * revision, the worse state wins. Incarnations are only a tie-breaker, so that all daemons choose the same one.
 */
export function supersedes(candidate: MemberInfo, current: MemberInfo): boolean {
    if (candidate.revision !== current.revision) {
        return candidate.revision > current.revision;
    }
    if (candidate.state !== current.state) {
        return stateRanks[candidate.state] > stateRanks[current.state];
    }
    return candidate.incarnation > current.incarnation;
}

/** Merges information received from another daemon. False information about this daemon is refuted. */
export function mergeMembers(membership: Membership, received: readonly MemberInfo[], now: number): Membership {
    return received.reduce((state, info) => mergeMember(state, info, now), membership);
}

function mergeMember(membership: Membership, info: MemberInfo, now: number): Membership {
    const { self, members } = membership;
    if (info.daemon === self.daemon) {
        const contradicts = info.incarnation !== self.incarnation || info.state !== self.state;
        const refutes = contradicts && info.revision >= self.revision;
        return refutes ? { ...membership, self: { ...self, revision: info.revision + 1 } } : membership;
    }
    const known = members.get(info.daemon);
    const gone = info.state === "dead" || info.state === "left";
    if (known === undefined ? gone : !supersedes(info, known.info)) {
        return membership;
    }
    const unanswered = known?.info.incarnation === info.incarnation && known.info.state === info.state
        ? known.unansweredSince
        : undefined;
    return withMember(membership, {
        info,
        since: now,
        unansweredSince: unanswered,
        remainingTransmissions: transmissionsFor(members.size),
    });
}

/** Records that a member acknowledged a probe. */
export function recordAcknowledgement(membership: Membership, daemon: string): Membership {
    const known = membership.members.get(daemon);
    return known === undefined ? membership : withMember(membership, { ...known, unansweredSince: undefined });
}

/** Applies timeouts: unresponsive members become suspect, then dead, and are removed after the retention time. */
export function tick(membership: Membership, now: number): Membership {
    const pause = now - membership.lastTickAt;
    const shift = pause > PAUSE_THRESHOLD_MILLISECONDS ? pause : 0;
    const members = [...membership.members.values()]
        .map(known => shift === 0 ? known : shiftTimes(known, shift))
        .filter(known => !isGone(known.info) || now - known.since < DEAD_RETENTION_MILLISECONDS)
        .map(known => applyTimeouts(known, now, membership.members.size));
    return { ...membership, members: new Map(members.map(known => [known.info.daemon, known])), lastTickAt: now };
}

function shiftTimes(known: KnownMember, shift: number): KnownMember {
    const unansweredSince = known.unansweredSince === undefined ? undefined : known.unansweredSince + shift;
    return { ...known, unansweredSince, since: known.since + shift };
}

function applyTimeouts(known: KnownMember, now: number, size: number): KnownMember {
    const unresponsive = known.unansweredSince !== undefined
        && now - known.unansweredSince >= ACKNOWLEDGE_TIMEOUT_MILLISECONDS;
    const next: Partial<Record<MemberState, MemberState>> = {
        ...(unresponsive ? { alive: "suspect" } : {}),
        ...(now - known.since >= SUSPICION_TIMEOUT_MILLISECONDS ? { suspect: "dead" } : {}),
    };
    const state = next[known.info.state];
    return state === undefined
        ? known
        : { ...known, info: { ...known.info, state }, since: now, remainingTransmissions: transmissionsFor(size) };
}

/** Members to probe now, and the state that records the probes. */
export interface ProbeChoice {
    readonly membership: Membership;
    readonly targets: readonly string[];
}

/**
 * Chooses the next members to probe. Each round probes all `reachable` members in an order derived from the seed, and
 * one dead member, so that both sides of a healed partition find each other again.
 */
export function chooseProbes(
    membership: Membership,
    reachable: ReadonlySet<string>,
    count: number,
    seed: number,
    now: number,
): ProbeChoice {
    const waiting = membership.round.filter(daemon => membership.members.has(daemon));
    const round = waiting.length > 0 ? waiting : newRound(membership, reachable, seed);
    const targets = round.slice(0, count);
    const probed = targets.reduce((state, daemon) => {
        const known = state.members.get(daemon);
        return known === undefined
            ? state
            : withMember(state, { ...known, unansweredSince: known.unansweredSince ?? now });
    }, membership);
    return { membership: { ...probed, round: round.slice(count) }, targets };
}

function newRound(membership: Membership, reachable: ReadonlySet<string>, seed: number): string[] {
    const generator = xorshift128plus(seed);
    const known = [...membership.members.values()].map(member => member.info);
    const live = known.filter(info => !isGone(info) && reachable.has(info.daemon)).map(info => info.daemon);
    const dead = known.filter(info => info.state === "dead").map(info => info.daemon);
    const deadMember = dead.length === 0 ? [] : [dead[uniformInt(generator, 0, dead.length - 1)] as string];
    return [...live, ...deadMember].map(daemon => ({ daemon, order: uniformInt(generator, 0, 0x7fffffff) }))
        .toSorted((one, other) => one.order - other.order)
        .map(({ daemon }) => daemon);
}

/** Members to include in a message, and the state that counts their transmissions. */
export interface GossipChoice {
    readonly membership: Membership;
    readonly members: readonly MemberInfo[];
}

/**
 * Chooses the members to include in a message to a peer: this daemon itself, the peer if it is not considered alive (so
 * that it can refute this), the members with the most recent changes, and one other member in rotation, which makes up
 * for lost messages.
 */
export function chooseGossip(membership: Membership, peer: string, seed: number): GossipChoice {
    const known = [...membership.members.values()];
    const aboutPeer = known.filter(member => member.info.daemon === peer && member.info.state !== "alive");
    const fresh = known.filter(member => member.remainingTransmissions > 0 && member.info.daemon !== peer)
        .toSorted((one, other) => other.remainingTransmissions - one.remainingTransmissions)
        .slice(0, MAXIMUM_MEMBERS_PER_MESSAGE - 3);
    const others = known.filter(member => !aboutPeer.includes(member) && !fresh.includes(member));
    const rotating = others.length === 0 ? [] : [others[Math.abs(seed) % others.length] as KnownMember];
    const updated = fresh.reduce(
        (state, member) => withMember(state, { ...member, remainingTransmissions: member.remainingTransmissions - 1 }),
        membership,
    );
    return {
        membership: updated,
        members: [membership.self, ...[...aboutPeer, ...fresh, ...rotating].map(member => member.info)],
    };
}

/** Returns the state of a daemon that leaves deliberately. The change must still be sent to other members. */
export function leave(membership: Membership): Membership {
    const { self } = membership;
    return { ...membership, self: { ...self, state: "left", revision: self.revision + 1 } };
}

/** Returns the daemons that are neither dead nor left, including this one, sorted by name. */
export function liveMembers(membership: Membership): MemberInfo[] {
    return [membership.self, ...[...membership.members.values()].map(member => member.info)]
        .filter(info => !isGone(info))
        .toSorted((one, other) => one.daemon < other.daemon ? -1 : 1);
}

function isGone(info: MemberInfo): boolean {
    return info.state === "dead" || info.state === "left";
}

/** Number of messages that carry a change, so that it reaches all members with high probability. */
function transmissionsFor(size: number): number {
    return 3 * Math.ceil(Math.log2(size + 2));
}

function withMember(membership: Membership, known: KnownMember): Membership {
    return { ...membership, members: new Map(membership.members).set(known.info.daemon, known) };
}
