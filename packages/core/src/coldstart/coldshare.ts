/**
 * Division of the request rate of a cold target between the daemons. Every daemon computes its own share, without messages.
 *
 * A cold target crashes above a number of requests within any one second, its bound. Few daemons, the holders, send to it, each
 * with at most one request saved up, so that together they send at most `rate + holders` requests in a second. Holders are
 * chosen from all known daemons, whether or not these can be heard, so that the bound also holds while daemons are cut off from
 * each other. Part of the room between rate and bound stays unused: requests arrive later than they are sent, and a daemon that
 * starts or stops is not known to all others at once.
 */
import { rendezvous } from "../membership/rendezvous.js";

/** Limit on the requests to a cold target that a service states. */
export interface ColdStart {
    /** How long a target is cold after its start. */
    readonly milliseconds: number;
    /** Requests per second that a cold target takes from all daemons together. */
    readonly requestsPerSecond: number;
}

/** How far the requests within one second may exceed the rate: `rate x factor + requests` at most. */
export interface ColdStartTolerance {
    readonly factor: number;
    readonly requests: number;
}

/** Input of {@link computeColdShare}. */
export interface ColdShareInput {
    /** Id of the target. */
    readonly target: string;
    readonly requestsPerSecond: number;
    readonly tolerance: ColdStartTolerance;
    /** Name of this daemon. */
    readonly self: string;
    /** Names of all known daemons, including this one. */
    readonly knownDaemons: readonly string[];
}

/** Share of one daemon. */
export interface ColdShare {
    /** Requests per second of this daemon; 0 if others are the holders. */
    readonly requestsPerSecond: number;
    /** Part of the first request that a holder may have saved up at first, so that holders take turns. */
    readonly initialLevel: number;
    /** When this daemon may send without a limit after the target turned warm, as a part of the slow start. */
    readonly joinsAt: number;
}

/** Share of a daemon that does not know the others yet. */
export const NO_COLD_SHARE: ColdShare = { requestsPerSecond: 0, initialLevel: 0, joinsAt: 1 };

/** Part of the room between rate and bound that holders may use with the request that each has saved up. */
const USED_PART_OF_ROOM = 0.75;
/** A single holder that sends at this part of the bound sends fewer requests than the bound in any second. */
const SINGLE_HOLDER_PART = 0.9;

/** Largest number of requests that a cold target may get within any one second. */
export function coldBound(requestsPerSecond: number, { factor, requests }: ColdStartTolerance): number {
    return Math.floor(requestsPerSecond * factor + requests);
}

/** Computes this daemon's share of a cold target. */
export function computeColdShare(
    { target, requestsPerSecond, tolerance, self, knownDaemons }: ColdShareInput,
): ColdShare {
    const bound = coldBound(requestsPerSecond, tolerance);
    const room = requestsPerSecond * tolerance.factor + tolerance.requests - requestsPerSecond;
    const order = rendezvous(target, knownDaemons, knownDaemons.length);
    const rank = order.indexOf(self);
    if (rank < 0) {
        return NO_COLD_SHARE;
    }
    const holders = Math.min(order.length, Math.max(1, Math.floor(room * USED_PART_OF_ROOM)));
    const rate = holders > 1 ? requestsPerSecond : Math.min(requestsPerSecond, SINGLE_HOLDER_PART * bound);
    return {
        requestsPerSecond: rank < holders ? rate / holders : 0,
        initialLevel: rank < holders ? rank / holders : 0,
        joinsAt: rank < holders ? 1 : (rank - holders + 1) / (order.length - holders + 1),
    };
}
