/** Task that polls the platform's list of hosts for the local data centre. The list lags behind the real hosts. */
import type { ListedHost } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { HostList } from "../ports/hostlist.js";
import type { Metrics } from "../ports/metrics.js";
import type { TableView } from "../ports/tableview.js";
import { createPublished, type Published } from "./published.js";

/** Interval between two reads. A host must receive no new work later than 3 s after it is listed as leaving. */
export const HOST_LIST_INTERVAL_MILLISECONDS = 1_000;

/** Hosts of the data centre by name, and when their list was read, in monotonic milliseconds. */
export interface HostsView {
    readonly hosts: ReadonlyMap<string, ListedHost>;
    readonly readAt?: number;
}

/** Returns the hosts that the platform lists as leaving or that are marked as draining in the table. */
export function leavingHosts(hosts: HostsView, table: TableView): ReadonlySet<string> {
    return new Set(
        [...hosts.hosts.values()]
            .filter(({ host, state }) => state === "leaving" || table.target(host)?.state === "draining")
            .map(({ host }) => host),
    );
}

/** Options of the hosts task. */
export interface HostsOptions {
    readonly dataCentre: string;
    readonly list: HostList;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly eventLog: EventLog;
    /** Returns the hosts that belong to groups. They are kept as leaving after they disappear from the list. */
    owned(): ReadonlySet<string>;
}

/** Polls the list of hosts. While the platform does not answer, the last list that was read stays in use. */
export class HostsTask {
    private readonly published = createPublished<HostsView>({ hosts: new Map() });
    private timer: NodeJS.Timeout | undefined;
    private reading = false;
    private failing = false;

    constructor(private readonly options: HostsOptions) {}

    /** Hosts of the last list that was read. */
    get hosts(): Published<HostsView> {
        return this.published;
    }

    /** Starts polling the list. */
    start(): void {
        this.readInBackground();
        this.timer = setInterval(() => this.readInBackground(), HOST_LIST_INTERVAL_MILLISECONDS);
    }

    /** Stops polling the list. */
    stop(): void {
        clearInterval(this.timer);
    }

    /** Reads the list; an error of this program is reported, and the next read follows at its usual time. */
    private readInBackground(): void {
        this.read().catch((error: unknown) =>
            this.options.eventLog.emit("taskFailed", { task: "list of hosts", error })
        );
    }

    private async read(): Promise<void> {
        if (this.reading) {
            return;
        }
        const { clock, eventLog, metrics } = this.options;
        const result = await this.readList();
        const now = clock.monotonic();
        if (result.err) {
            if (!this.failing) {
                eventLog.emit("hostListFailed", { message: result.val });
            }
            this.failing = true;
        }
        else {
            this.failing = false;
            this.published.publish({ hosts: this.merge(result.val), readAt: now });
        }
        const { hosts, readAt } = this.published.current();
        metrics.gauge("hosts.listed", hosts.size);
        metrics.gauge("hosts.list_age", readAt === undefined ? 0 : now - readAt);
    }

    private async readList(): ReturnType<HostList["list"]> {
        this.reading = true;
        try {
            return await this.options.list.list();
        }
        finally {
            this.reading = false;
        }
    }

    private merge(listed: readonly ListedHost[]): ReadonlyMap<string, ListedHost> {
        const own = listed.filter(host => host.dataCentre === this.options.dataCentre);
        const owned = this.options.owned();
        const kept = [...this.published.current().hosts.values()]
            .filter(host => owned.has(host.host) && !own.some(other => other.host === host.host))
            .map(host => ({ ...host, state: "leaving" as const }));
        return new Map([...own, ...kept].map(host => [host.host, host]));
    }
}
