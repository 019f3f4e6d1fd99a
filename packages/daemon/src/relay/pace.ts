/**
 * How often daemons read the registry. One collector of each data centre reads it often and passes changes on. The others
 * read by themselves only when they get no changes; the more daemons there are, the less often, because they share the store.
 */

/** Delay between two registry reads in a small fleet; changes within it are read as one batch. */
const MINIMUM_READ_DELAY_MILLISECONDS = 400;
/** Delay between two registry reads per daemon of a large fleet. */
const READ_DELAY_PER_DAEMON_MILLISECONDS = 16;
/** Largest delay between two reads, as a share of the time within which a draining target must stop getting requests. */
const DRAIN_NOTICE_SHARE = 0.4;
/** Delay between two registry reads of a collector, as a share of the same time. */
const COLLECTOR_SHARE = 0.2;
/** How late the changes of another daemon may be before the first collector reads by itself, and again for the second one. */
const COLLECTOR_PATIENCE_MILLISECONDS = 300;
/** The same for other daemons, so that a collector is first. They spread their reads, in order not to come all at once. */
const MEMBER_PATIENCE_MILLISECONDS = 800;
const MEMBER_SPREAD_MILLISECONDS = 300;

/** Returns the delay between two registry reads of a collector in milliseconds. */
export function collectorReadDelayMilliseconds(drainNoticeMilliseconds: number): number {
    return Math.max(MINIMUM_READ_DELAY_MILLISECONDS, drainNoticeMilliseconds * COLLECTOR_SHARE);
}

/** Returns how long a daemon that gets changes of another one waits for the next ones before it reads by itself. */
export function ownReadDelayMilliseconds(
    collectorRank: number | undefined,
    drainNoticeMilliseconds: number,
    random: () => number,
): number {
    const expected = collectorReadDelayMilliseconds(drainNoticeMilliseconds);
    return collectorRank === undefined
        ? expected + MEMBER_PATIENCE_MILLISECONDS + random() * MEMBER_SPREAD_MILLISECONDS
        : expected + COLLECTOR_PATIENCE_MILLISECONDS * (collectorRank + 1);
}

/** Returns the delay between two registry reads of a daemon that gets no changes of others, in milliseconds. */
export function registryReadDelayMilliseconds(daemons: number, drainNoticeMilliseconds: number): number {
    const delay = Math.max(MINIMUM_READ_DELAY_MILLISECONDS, daemons * READ_DELAY_PER_DAEMON_MILLISECONDS);
    return Math.min(delay, Math.max(MINIMUM_READ_DELAY_MILLISECONDS, drainNoticeMilliseconds * DRAIN_NOTICE_SHARE));
}
