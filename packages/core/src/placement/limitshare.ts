/**
 * Division of a target's request rate between the daemons. Every daemon computes its own share, without consensus.
 *
 * A target that takes few requests is used by few daemons, its holders, so that a holder's share is worth a request every
 * now and then. Daemons in the data centre of the target come first, because they reach it when data centres are cut off
 * from each other.
 *
 * Bound: a holder sends at most its share and one request at once. While all daemons reach each other, the holders send at
 * most `rate x t + holders` requests in t seconds, which is `rate x (t + 2) + 2`. A daemon that reaches only a part of the
 * known daemons divides only that part of the rate, so that the shares of all sides of a partition add up to the rate.
 */
import { rendezvous } from "../membership/rendezvous.js";

/** A daemon and its data centre, if known. */
export interface DaemonLocation {
    readonly daemon: string;
    readonly dataCentre?: string;
}

/** Input of {@link computeLimitShare}. */
export interface LimitShareInput {
    readonly target: { readonly id: string; readonly dataCentre: string; };
    /** Requests per second that the target takes from all daemons together. */
    readonly requestsPerSecond: number;
    readonly self: DaemonLocation;
    /** Other daemons that reported recently. */
    readonly reachable: readonly DaemonLocation[];
    /** Number of all daemons that may send requests, including this one and those that did not report. */
    readonly knownDaemons: number;
}

/** Share of one daemon. */
export interface LimitShare {
    /** Requests per second; 0 if other daemons are the holders. */
    readonly requestsPerSecond: number;
    /** Part of the first request that a new holder may have saved up, so that holders take turns. */
    readonly initialLevel: number;
}

/** A target that takes nothing gets a request this often, because only a response shows when the limit ends. */
export const MINIMUM_REQUESTS_PER_SECOND = 0.1;
/** Requests at once that all holders together may add to the rate, in seconds of the rate. */
const HOLDERS_PER_REQUEST_PER_SECOND = 2;
const ADDITIONAL_HOLDERS = 2;

/** Computes this daemon's share. */
export function computeLimitShare(input: LimitShareInput): LimitShare {
    const rate = Math.max(MINIMUM_REQUESTS_PER_SECOND, input.requestsPerSecond);
    const holders = chooseHolders(input, Math.floor(rate * HOLDERS_PER_REQUEST_PER_SECOND + ADDITIONAL_HOLDERS));
    const rank = holders.indexOf(input.self.daemon);
    if (rank < 0) {
        return { requestsPerSecond: 0, initialLevel: 0 };
    }
    const heardDaemons = input.reachable.length + 1;
    const heardPart = heardDaemons / Math.max(heardDaemons, input.knownDaemons);
    return { requestsPerSecond: rate * heardPart / holders.length, initialLevel: rank / holders.length };
}

/** Returns the names of up to `count` daemons. All daemons that reach each other get the same result. */
function chooseHolders({ target, self, reachable }: LimitShareInput, count: number): string[] {
    const daemons = [self, ...reachable];
    const isLocal = ({ dataCentre }: DaemonLocation): boolean => dataCentre === target.dataCentre;
    const local = choose(target.id, daemons.filter(isLocal), count);
    // Hashing the names of a large fleet is slow, and the data centre of the target usually has enough daemons.
    return local.length === count
        ? local
        : [...local, ...choose(target.id, daemons.filter(daemon => !isLocal(daemon)), count - local.length)];
}

function choose(target: string, daemons: readonly DaemonLocation[], count: number): string[] {
    return rendezvous(target, daemons.map(({ daemon }) => daemon), count);
}
