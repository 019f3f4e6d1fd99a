/**
 * Membership of the daemons: a probe protocol as pure functions on an immutable state. Times are monotonic
 * milliseconds of the caller, random choices come from a seed.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";

/** A member without an answer for this long is suspect. */
export const ACKNOWLEDGE_TIMEOUT_MILLISECONDS = 1_000;
/** A suspect that has not refuted for this long is dead. */
export const SUSPICION_TIMEOUT_MILLISECONDS = 3_000;
/** Dead members are probed now and then for this long: longer than regions are partitioned from each other. */
export const DEAD_RETENTION_MILLISECONDS = 7_200_000;
/**
 * When two ticks lie further apart than this, this process was paused. Missing answers then say nothing about the
 * others, so the waiting times start again.
 */
export const PAUSE_THRESHOLD_MILLISECONDS = 900;
/** Members told in one message. */
export const MAXIMUM_MEMBERS_PER_MESSAGE = 8;

/** State of a member as told between daemons. */
export type MemberState = "alive" | "suspect" | "dead" | "left";

/** What one daemon tells of another. A member raises its `revision` to refute what others tell of it. */
export interface MemberInfo {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly incarnation: string;
    readonly revision: number;
    readonly state: MemberState;
}

/** What this daemon knows of another. */
export interface KnownMember {
    readonly info: MemberInfo;
    /** When this state was learnt. */
    readonly since: number;
    /** When the oldest unanswered probe was sent. */
    readonly unansweredSince?: number;
    /** How many more messages carry the news. */
    readonly remainingTransmissions: number;
}

/** State of the protocol at one daemon. */
export interface Membership {
    readonly self: MemberInfo;
    readonly members: ReadonlyMap<string, KnownMember>;
    /** Members that are still to be probed in this round. */
    readonly round: readonly string[];
    readonly tickedAt: number;
}

const ranks: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** Makes the state of a daemon that knows no other. */
export function createMembership(self: MemberInfo, now: number): Membership {
    return { self, members: new Map(), round: [], tickedAt: now };
}

/**
 * Returns whether one piece of news replaces another about the same daemon. A higher revision wins; at the same
 * revision the worse state wins. Incarnations are compared last and only so that all daemons choose the same one.
 */
export function supersedes(one: MemberInfo, other: MemberInfo): boolean {
    if (one.revision !== other.revision) {
        return one.revision > other.revision;
    }
    if (one.state !== other.state) {
        return ranks[one.state] > ranks[other.state];
    }
    return one.incarnation > other.incarnation;
}

/** Merges what another daemon tells. News that contradict this daemon about itself are refuted. */
export function mergeMembers(membership: Membership, news: readonly MemberInfo[], now: number): Membership {
    return news.reduce((state, item) => hearOne(state, item, now), membership);
}

function hearOne(membership: Membership, news: MemberInfo, now: number): Membership {
    const { self, members } = membership;
    if (news.daemon === self.daemon) {
        const contradicts = news.incarnation !== self.incarnation || news.state !== self.state;
        const refutes = contradicts && news.revision >= self.revision;
        return refutes ? { ...membership, self: { ...self, revision: news.revision + 1 } } : membership;
    }
    const known = members.get(news.daemon);
    const gone = news.state === "dead" || news.state === "left";
    if (known === undefined ? gone : !supersedes(news, known.info)) {
        return membership;
    }
    const unanswered = known?.info.incarnation === news.incarnation && known.info.state === news.state
        ? known.unansweredSince
        : undefined;
    return withMember(membership, {
        info: news,
        since: now,
        unansweredSince: unanswered,
        remainingTransmissions: transmissionsFor(members.size),
    });
}

/** Notes that a member answered a probe. */
export function recordAcknowledgement(membership: Membership, daemon: string): Membership {
    const known = membership.members.get(daemon);
    return known === undefined ? membership : withMember(membership, { ...known, unansweredSince: undefined });
}

/** Advances the state: unanswered members become suspect, unrefuted suspects dead, and old dead ones are forgotten. */
export function tick(membership: Membership, now: number): Membership {
    const pause = now - membership.tickedAt;
    const shift = pause > PAUSE_THRESHOLD_MILLISECONDS ? pause : 0;
    const members = [...membership.members.values()]
        .map(known => shift === 0 ? known : shifted(known, shift))
        .filter(known => !isGone(known.info) || now - known.since < DEAD_RETENTION_MILLISECONDS)
        .map(known => aged(known, now, membership.members.size));
    return { ...membership, members: new Map(members.map(known => [known.info.daemon, known])), tickedAt: now };
}

function shifted(known: KnownMember, shift: number): KnownMember {
    const unansweredSince = known.unansweredSince === undefined ? undefined : known.unansweredSince + shift;
    return { ...known, unansweredSince, since: known.since + shift };
}

function aged(known: KnownMember, now: number, size: number): KnownMember {
    const silent = known.unansweredSince !== undefined
        && now - known.unansweredSince >= ACKNOWLEDGE_TIMEOUT_MILLISECONDS;
    const next: Partial<Record<MemberState, MemberState>> = {
        ...(silent ? { alive: "suspect" } : {}),
        ...(now - known.since >= SUSPICION_TIMEOUT_MILLISECONDS ? { suspect: "dead" } : {}),
    };
    const state = next[known.info.state];
    return state === undefined
        ? known
        : { ...known, info: { ...known.info, state }, since: now, remainingTransmissions: transmissionsFor(size) };
}

/** Members to probe now, and the state that remembers them. */
export interface ProbeChoice {
    readonly membership: Membership;
    readonly targets: readonly string[];
}

/**
 * Chooses the next members to probe: each of `reachable` once a round in an order from the seed, and one dead
 * member a round, so that both sides of a healed cut find each other again.
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
    const live = known.filter(news => !isGone(news) && reachable.has(news.daemon)).map(news => news.daemon);
    const dead = known.filter(news => news.state === "dead").map(news => news.daemon);
    const again = dead.length === 0 ? [] : [dead[uniformInt(generator, 0, dead.length - 1)] as string];
    return [...live, ...again].map(daemon => ({ daemon, order: uniformInt(generator, 0, 0x7fffffff) }))
        .toSorted((one, other) => one.order - other.order)
        .map(({ daemon }) => daemon);
}

/** News to send, and the state that remembers how often they were told. */
export interface GossipChoice {
    readonly membership: Membership;
    readonly members: readonly MemberInfo[];
}

/**
 * Chooses the news for a message to a peer: this daemon itself, what it holds against the peer (so that the peer can
 * refute it), the freshest news, and one other member in turn, which repairs what lost messages left out.
 */
export function chooseGossip(membership: Membership, peer: string, seed: number): GossipChoice {
    const known = [...membership.members.values()];
    const against = known.filter(member => member.info.daemon === peer && member.info.state !== "alive");
    const fresh = known.filter(member => member.remainingTransmissions > 0 && member.info.daemon !== peer)
        .toSorted((one, other) => other.remainingTransmissions - one.remainingTransmissions)
        .slice(0, MAXIMUM_MEMBERS_PER_MESSAGE - 3);
    const others = known.filter(member => !against.includes(member) && !fresh.includes(member));
    const turn = others.length === 0 ? [] : [others[Math.abs(seed) % others.length] as KnownMember];
    const told = fresh.reduce(
        (state, member) => withMember(state, { ...member, remainingTransmissions: member.remainingTransmissions - 1 }),
        membership,
    );
    return {
        membership: told,
        members: [membership.self, ...[...against, ...fresh, ...turn].map(member => member.info)],
    };
}

/** Returns the state of a daemon that leaves on purpose. Its news must still be told. */
export function leave(membership: Membership): Membership {
    const { self } = membership;
    return { ...membership, self: { ...self, state: "left", revision: self.revision + 1 } };
}

/** Returns the daemons that are neither dead nor left, this one included, in name order. */
export function liveMembers(membership: Membership): MemberInfo[] {
    return [membership.self, ...[...membership.members.values()].map(member => member.info)]
        .filter(news => !isGone(news))
        .toSorted((one, other) => one.daemon < other.daemon ? -1 : 1);
}

function isGone(news: MemberInfo): boolean {
    return news.state === "dead" || news.state === "left";
}

/** A change is told to about as many peers as it takes to reach all of them with high probability. */
function transmissionsFor(size: number): number {
    return 3 * Math.ceil(Math.log2(size + 2));
}

function withMember(membership: Membership, known: KnownMember): Membership {
    return { ...membership, members: new Map(membership.members).set(known.info.daemon, known) };
}
