/**
 * How often a daemon reads the store and broadcasts its loads, depending on the number of daemons that share the store
 * and the network. The more daemons there are, the less each one contributes to the load, so staler data does less harm.
 */

/** Delay between two registry reads in a small fleet; changes within it are read as one batch. */
const MINIMUM_READ_DELAY_MILLISECONDS = 400;
/** Delay between two registry reads per daemon of a large fleet. */
const READ_DELAY_PER_DAEMON_MILLISECONDS = 16;
/** Largest delay between two reads, as a share of the time within which a draining target must stop getting requests. */
const DRAIN_NOTICE_SHARE = 0.4;
/** For each this many daemons of the sender's data centre, one round passes between two messages to them. */
const LOCAL_DAEMONS_PER_ROUND = 24;
/** For each this many daemons, one round passes between two messages to other data centres. */
const REMOTE_DAEMONS_PER_ROUND = 16;
/** Even in a small fleet, every second message is enough for other data centres. */
const MINIMUM_REMOTE_ROUNDS = 2;

/** Returns the delay between two registry reads in milliseconds. */
export function registryReadDelayMilliseconds(daemons: number, drainNoticeMilliseconds: number): number {
    const delay = Math.max(MINIMUM_READ_DELAY_MILLISECONDS, daemons * READ_DELAY_PER_DAEMON_MILLISECONDS);
    return Math.min(delay, Math.max(MINIMUM_READ_DELAY_MILLISECONDS, drainNoticeMilliseconds * DRAIN_NOTICE_SHARE));
}

/** Returns after how many rounds a message goes to daemons of the same data centre and to those of other ones. */
export function broadcastRounds(daemons: number): { readonly local: number; readonly remote: number; } {
    return {
        local: Math.max(1, Math.round(daemons / LOCAL_DAEMONS_PER_ROUND / 2)),
        remote: Math.max(MINIMUM_REMOTE_ROUNDS, Math.round(daemons / REMOTE_DAEMONS_PER_ROUND)),
    };
}
