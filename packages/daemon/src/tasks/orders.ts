/** Orders to engines: one at a time for each host, under the lease, repeated until a report shows their effect. */
import { type ListedHost, type Observation, ORDER_DEADLINE_MILLISECONDS } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EngineClient, Order } from "../ports/engine.js";
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";
import type { OwnLease } from "./leases.js";

const FIRST_REPEAT_MILLISECONDS = 1_000;
const MAXIMUM_REPEAT_MILLISECONDS = 8_000;

/** What the orders need. */
export interface OrdersOptions {
    readonly engine: EngineClient;
    readonly clock: Clock;
    readonly lease: OwnLease;
    readonly metrics: Metrics;
    readonly eventLog: EventLog;
}

interface Sent {
    readonly key: string;
    readonly attempts: number;
    /** When the order ended; `undefined` while it is in progress. */
    readonly endedAt?: number;
}

/** Sender of orders. */
export class Orders {
    private readonly sent = new Map<string, Sent>();
    private readonly withheld = new Map<string, string>();

    constructor(private readonly options: OrdersOptions) {}

    /**
     * Sends an order unless one to the host is in progress, or the same one was sent and no report from after it has
     * arrived. An order whose answer was lost is thereby read back before it is repeated.
     */
    request(target: ListedHost, order: Order, observation: Observation | undefined): void {
        const key = JSON.stringify([order.order, order.group, order.fence]);
        const before = this.sent.get(target.host);
        if (before !== undefined && before.endedAt === undefined) {
            return;
        }
        const now = this.options.clock.monotonic();
        const same = before?.key === key ? before : undefined;
        if (same?.endedAt !== undefined && !mayRepeat(same.attempts, same.endedAt, observation, now)) {
            return;
        }
        // Nothing is awaited between this check and the call that writes the order.
        if (!this.options.lease.isValid(this.options.clock.monotonic())) {
            this.withhold(target, order, key);
            return;
        }
        const sent = { key, attempts: (same?.attempts ?? 0) + 1 };
        this.sent.set(target.host, sent);
        this.send(target, order)
            .catch((error: unknown) =>
                this.options.eventLog.emit("taskFailed", { task: "groups", kind: "order", error })
            )
            .finally(() => this.sent.set(target.host, { ...sent, endedAt: this.options.clock.monotonic() }));
    }

    /** Reports an order that the lease does not permit, once for each order. */
    private withhold({ host }: ListedHost, { order, group, fence }: Order, key: string): void {
        if (this.withheld.get(host) !== key) {
            this.withheld.set(host, key);
            this.options.eventLog.emit("orderWithheld", { host, order, group, fence });
            this.options.metrics.increment("groups.orders", 1, { order, result: "withheld" });
        }
    }

    /** Forgets hosts that are no longer listed. */
    forget(hosts: ReadonlyMap<string, ListedHost>): void {
        [...this.sent.keys()].filter(host => !hosts.has(host)).forEach(host => {
            this.sent.delete(host);
            this.withheld.delete(host);
        });
    }

    private async send(target: ListedHost, order: Order): Promise<void> {
        const { engine, metrics, eventLog } = this.options;
        const told = { host: target.host, order: order.order, group: order.group, fence: order.fence };
        const result = await engine.order(target.url, order, ORDER_DEADLINE_MILLISECONDS);
        metrics.increment("groups.orders", 1, { order: order.order, result: result.ok ? "done" : result.val.kind });
        if (result.err) {
            eventLog.emit("orderFailed", { ...told, status: result.val.status, message: result.val.message });
        }
        else if (order.order === "clear") {
            eventLog.emit("hostCleared", told);
        }
    }
}

function mayRepeat(attempts: number, endedAt: number, observation: Observation | undefined, now: number): boolean {
    const wait = Math.min(MAXIMUM_REPEAT_MILLISECONDS, FIRST_REPEAT_MILLISECONDS * 2 ** (attempts - 1));
    return now - endedAt >= wait && (observation?.observedAt ?? Number.NEGATIVE_INFINITY) >= endedAt;
}
