/**
 * How often a daemon reads the store and tells its loads, by the number of daemons that share the store and the links.
 * With more daemons each of them has less weight, so that older knowledge of it does less harm.
 */

/** Wait between two reads of the registry in a small fleet; its changes are read together. */
const TARGETS_PAUSE_MILLISECONDS = 400;
/** Wait between two reads of the registry for each daemon of a large fleet. */
const TARGETS_PAUSE_PER_DAEMON_MILLISECONDS = 16;
/** Part of the time after which a leaving target must get no requests that may pass between two reads. */
const DRAIN_SHARE = 0.4;
/** Daemons that get every message of a daemon in their data centre. */
const NEAR_PER_ROUND = 24;
/** Daemons of other data centres that would get every message; with fewer, every second one is enough. */
const FAR_PER_ROUND = 16;
const FAR_ROUNDS = 2;

/** Wait between two reads of the registry, in milliseconds. */
export function targetsPauseMilliseconds(daemons: number, drainNoticeMilliseconds: number): number {
    const wanted = Math.max(TARGETS_PAUSE_MILLISECONDS, daemons * TARGETS_PAUSE_PER_DAEMON_MILLISECONDS);
    return Math.min(wanted, Math.max(TARGETS_PAUSE_MILLISECONDS, drainNoticeMilliseconds * DRAIN_SHARE));
}

/** Every how many rounds daemons of the same data centre and of others are told. */
export function tellingRounds(daemons: number): { readonly near: number; readonly far: number; } {
    return {
        near: Math.max(1, Math.round(daemons / NEAR_PER_ROUND / 2)),
        far: Math.max(FAR_ROUNDS, Math.round(daemons / FAR_PER_ROUND)),
    };
}
