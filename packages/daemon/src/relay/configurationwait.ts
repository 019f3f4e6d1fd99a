/**
 * Decides how long a read of the configuration waits for a change. Some daemons wait for a short time, so that they find out
 * soon when all waiting reads have gone silent: two watchers, which inform the others, and each daemon that no collector
 * tells that it knows the newest version. The others save reads by a long wait.
 */
import type { DaemonLocation } from "@damaskvale/core";

/** Position of a daemon among those that report to it. */
export interface ConfigurationReader {
    readonly self: DaemonLocation;
    /** Other daemons that reported lately. */
    readonly peers: readonly DaemonLocation[];
    /** Whether no collector confirms that this daemon knows the newest version, for example because it is one itself. */
    readonly isUnconfirmed?: boolean;
}

/** Wait of a daemon that others report to. */
const LONG_WAIT_MILLISECONDS = 8_000;
/** Wait of a watcher, or a daemon that nobody confirms, as a share of the time within which a configuration must be in force. */
const WATCHER_WAIT_SHARE = 0.25;
/**
 * Without other daemons, a dead connection is detected only when the read times out. The wait is therefore shorter by this
 * than the time within which a configuration must be in force; the reserve covers the overrun of the read, the delay before
 * the next one, and its response.
 */
const RESERVE_MILLISECONDS = 1_100;

/** Returns whether a daemon is a watcher: the first one by name, or the next one, if possible in another data centre. */
export function isConfigurationWatcher({ self, peers }: ConfigurationReader): boolean {
    const [first, ...others] = [self, ...peers].sort((left, right) => left.daemon < right.daemon ? -1 : 1);
    const second = others.find(({ dataCentre }) => dataCentre !== first?.dataCentre) ?? others[0];
    return self === first || self === second;
}

/** Returns the wait of a read; `configurationMilliseconds` is the time within which a configuration must be in force. */
export function configurationWaitMilliseconds(reader: ConfigurationReader, configurationMilliseconds: number): number {
    const aloneMilliseconds = Math.max(0, configurationMilliseconds - RESERVE_MILLISECONDS);
    if (reader.peers.length === 0) {
        return aloneMilliseconds;
    }
    return reader.isUnconfirmed === true || isConfigurationWatcher(reader)
        ? Math.min(aloneMilliseconds, configurationMilliseconds * WATCHER_WAIT_SHARE)
        : LONG_WAIT_MILLISECONDS;
}
