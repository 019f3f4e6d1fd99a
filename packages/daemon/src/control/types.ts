/** Types of the operator API. Its schemas are shared with the command line through `@damaskvale/core`. */
import type { Edit, GroupStatus, HostStatus, StatusResponse, TableState } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { PlatformLog } from "../ports/platformlog.js";
import type { Stream } from "../ports/stream.js";
import type { TableView } from "../ports/tableview.js";

/** Options of the operator API. */
export interface ControlOptions {
    /** Names of operators by token. */
    readonly operators: ReadonlyMap<string, string>;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly table: () => TableView;
    readonly configuration: Stream<TableState, Edit>;
    readonly platformLog: PlatformLog;
    readonly maximumBodyBytes: number;
    /** Live daemons, with the next configuration offset that each has announced. */
    readonly configurationOffsets: () => ReadonlyMap<string, number>;
    /** Asks a daemon for its next configuration offset. Returns `undefined` if it does not answer. */
    readonly fetchConfigurationOffset: (daemon: string) => Promise<number | undefined>;
    /** Returns the status of all daemons that answer, and the names of those that do not. */
    readonly fetchAllStatuses: () => Promise<StatusResponse>;
    readonly hosts: () => readonly HostStatus[];
    readonly groups: () => readonly GroupStatus[];
    /** Returns the explanation of a request, from this daemon or the one that served it. */
    readonly explain: (requestId: string) => Promise<unknown>;
}
