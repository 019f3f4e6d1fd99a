/** Port to the records through which daemons discover each other. */
import type { KeyedTopic } from "./registry.js";

/** Record with which a daemon announces itself. */
export interface DaemonPresence {
    readonly daemon: string;
    /** IP address on which the daemon receives messages of other daemons. */
    readonly ip: string;
    readonly dataCentre: string;
    /** Capacity of the host's network link in Mbit/s, if it is known. */
    readonly linkMegabits?: number;
}

/** Records of the daemons by name. Calls reject with a `StoreError`. */
export interface PresenceTopic extends KeyedTopic<DaemonPresence> {
    /** Resolves to the era of the store in which the record was written. */
    announce(presence: DaemonPresence): Promise<number>;
    withdraw(daemon: string): Promise<void>;
}
