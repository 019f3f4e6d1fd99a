/** Port to the records by which daemons find each other. */
import type { KeyedTopic } from "./registry.js";

/** A daemon as it announces itself. */
export interface DaemonPresence {
    readonly daemon: string;
    /** IP address at which it receives messages of other daemons. */
    readonly ip: string;
    readonly dataCentre: string;
}

/** Records of the daemons, by name. Calls reject with a `StoreError`. */
export interface PresenceTopic extends KeyedTopic<DaemonPresence> {
    announce(presence: DaemonPresence): Promise<void>;
    withdraw(daemon: string): Promise<void>;
}
