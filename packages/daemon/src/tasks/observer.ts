/** Task that polls the reports of hosts and merges the observations that other daemons of the data centre share. */
import {
    CONFIRMATION_BOUND_MILLISECONDS,
    type ListedHost,
    type Observation,
    rendezvous,
    REPORT_INTERVAL_MILLISECONDS,
} from "@damaskvale/core";
import type { SharedObservation } from "../messages.js";
import type { Clock } from "../ports/clock.js";
import type { EngineClient } from "../ports/engine.js";
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";
import type { HostsView } from "./hosts.js";
import type { MembersView } from "./membership.js";
import { createPublished, type Published } from "./published.js";

/** Daemons that poll each host. With two, the loss of one daemon or link removes no confirmation. */
export const OBSERVERS_PER_HOST = 2;
/** A report must arrive within this time; a host that needs longer is not confirmed. */
export const REPORT_TIMEOUT_MILLISECONDS = 1_000;

/** Options of the observer task. */
export interface ObserverOptions {
    readonly hosts: Published<HostsView>;
    readonly members: Published<MembersView>;
    readonly engine: EngineClient;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly eventLog: EventLog;
}

/** The observer task. */
export class ObserverTask {
    private readonly published = createPublished<ReadonlyMap<string, Observation>>(new Map());
    private readonly polling = new Set<string>();
    private readonly ownObservations = new Map<string, Observation>();
    private timer: NodeJS.Timeout | undefined;
    private assigned: { key: string; hosts: readonly ListedHost[]; } = { key: "", hosts: [] };

    constructor(private readonly options: ObserverOptions) {}

    /** Newest observation of each host. Times are lower bounds of when the report was true. */
    get observations(): Published<ReadonlyMap<string, Observation>> {
        return this.published;
    }

    /** Starts polling. */
    start(): void {
        this.poll();
        this.timer = setInterval(() => this.poll(), REPORT_INTERVAL_MILLISECONDS);
    }

    /** Stops polling. */
    stop(): void {
        clearInterval(this.timer);
    }

    /**
     * Returns the observations of this daemon that may still confirm a group, to share them with the other daemons of
     * the data centre. Ages are whole milliseconds, rounded up, which keeps messages small.
     */
    sharedObservations(): readonly SharedObservation[] {
        const now = this.options.clock.monotonic();
        return [...this.ownObservations.values()]
            .map(({ report, observedAt }) => ({ report, ageMilliseconds: Math.ceil(now - observedAt) }))
            .filter(({ ageMilliseconds }) => ageMilliseconds <= CONFIRMATION_BOUND_MILLISECONDS);
    }

    /**
     * Merges the observations of a peer. Their ages count from when this daemon sent the probe that the peer answered, so
     * neither the peer's clock nor the latency of the answer can make them appear newer than they are.
     */
    merge(observations: readonly SharedObservation[], sentAt: number): void {
        const { hosts } = this.options.hosts.current();
        this.keepNewest(
            observations
                .filter(({ report }) => hosts.has(report.host))
                .map(({ report, ageMilliseconds }) => ({ report, observedAt: sentAt - ageMilliseconds })),
        );
    }

    private poll(): void {
        const { eventLog } = this.options;
        this.removeUnlistedHosts();
        this.assignedHosts().filter(({ host }) => !this.polling.has(host)).forEach(host => {
            this.pollHost(host).catch((error: unknown) =>
                eventLog.emit("taskFailed", { task: "observer", kind: "poll", error })
            );
        });
    }

    private async pollHost({ host, url }: ListedHost): Promise<void> {
        const { engine, clock, metrics } = this.options;
        this.polling.add(host);
        const sentAt = clock.monotonic();
        const result = await engine.report(url, REPORT_TIMEOUT_MILLISECONDS).finally(() => this.polling.delete(host));
        const answered = result.ok && result.val.host === host;
        metrics.increment("hosts.reports", 1, {
            result: answered ? "report" : result.ok ? "other-host" : result.val.kind,
        });
        if (result.ok && answered) {
            const observation = { report: result.val, observedAt: sentAt };
            this.ownObservations.set(host, observation);
            this.keepNewest([observation]);
        }
    }

    /** Returns the hosts that rendezvous hashing assigns to this daemon; recomputed when hosts or members change. */
    private assignedHosts(): readonly ListedHost[] {
        const { hosts } = this.options.hosts.current();
        const { self, live } = this.options.members.current();
        const names = live.filter(info => info.dataCentre === self.dataCentre).map(info => info.daemon);
        const key = JSON.stringify([names, [...hosts.values()].map(({ host, url }) => [host, url])]);
        if (this.assigned.key !== key) {
            const mine = [...hosts.values()].filter(({ host }) =>
                rendezvous(`observe/${host}`, names, OBSERVERS_PER_HOST).includes(self.daemon)
            );
            this.assigned = { key, hosts: mine };
        }
        return this.assigned.hosts;
    }

    /**
     * Keeps the newest observation of each host. A higher fencing token counts as newer even if its time is not, because
     * the times of peers are lower bounds.
     */
    private keepNewest(observations: readonly Observation[]): void {
        const held = this.published.current();
        const newer = observations.filter(({ report, observedAt }) => {
            const known = held.get(report.host);
            return known === undefined || observedAt > known.observedAt
                || (report.fence ?? 0) > (known.report.fence ?? 0);
        });
        if (newer.length > 0) {
            const entries = newer.map(observation => [observation.report.host, observation] as const);
            this.published.publish(new Map([...held, ...entries]));
        }
    }

    private removeUnlistedHosts(): void {
        const { hosts } = this.options.hosts.current();
        const held = this.published.current();
        if ([...held.keys()].some(host => !hosts.has(host))) {
            this.published.publish(new Map([...held].filter(([host]) => hosts.has(host))));
        }
        [...this.ownObservations.keys()].filter(host => !hosts.has(host)).forEach(host =>
            this.ownObservations.delete(host)
        );
    }
}
