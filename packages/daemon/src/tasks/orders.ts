/** Sends orders to engines: one at a time per host, under the lease, retried until a report shows their effect. */
import { type ListedHost, type Observation, ORDER_DEADLINE_MILLISECONDS } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EngineClient, Order } from "../ports/engine.js";
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";
import type { OwnLease } from "./leases.js";

const RETRY_BASE_MILLISECONDS = 1_000;
const RETRY_MAXIMUM_MILLISECONDS = 8_000;

/** Options of the order sender. */
export interface OrdersOptions {
    readonly engine: EngineClient;
    readonly clock: Clock;
    readonly lease: OwnLease;
    readonly metrics: Metrics;
    readonly eventLog: EventLog;
}

interface SentOrder {
    readonly key: string;
    readonly attempts: number;
    /** When the order ended; `undefined` while it is in progress. */
    readonly endedAt?: number;
}

/** Sends the orders of one daemon. */
export class OrderSender {
    private readonly sent = new Map<string, SentOrder>();
    private readonly withheld = new Map<string, string>();

    constructor(private readonly options: OrdersOptions) {}

    /**
     * Sends an order unless one to the host is in progress, or the same order was sent and no report that is newer than
     * it has arrived. An order whose answer was lost is therefore checked against a report before it is retried.
     */
    request(target: ListedHost, order: Order, observation: Observation | undefined): void {
        const key = JSON.stringify([order.order, order.group, order.fence]);
        const previous = this.sent.get(target.host);
        if (previous !== undefined && previous.endedAt === undefined) {
            return;
        }
        const now = this.options.clock.monotonic();
        const previousAttempt = previous?.key === key ? previous : undefined;
        if (
            previousAttempt?.endedAt !== undefined
            && !mayRetry(previousAttempt.attempts, previousAttempt.endedAt, observation, now)
        ) {
            return;
        }
        // Nothing is awaited between this check and the call that writes the order.
        if (!this.options.lease.isValid(this.options.clock.monotonic())) {
            this.reportWithheld(target, order, key);
            return;
        }
        const sent = { key, attempts: (previousAttempt?.attempts ?? 0) + 1 };
        this.sent.set(target.host, sent);
        this.send(target, order)
            .catch((error: unknown) =>
                this.options.eventLog.emit("taskFailed", { task: "groups", kind: "order", error })
            )
            .finally(() => this.sent.set(target.host, { ...sent, endedAt: this.options.clock.monotonic() }));
    }

    /** Reports an order that the lease does not permit, once for each order. */
    private reportWithheld({ host }: ListedHost, { order, group, fence }: Order, key: string): void {
        if (this.withheld.get(host) !== key) {
            this.withheld.set(host, key);
            this.options.eventLog.emit("orderWithheld", { host, order, group, fence });
            this.options.metrics.increment("groups.orders", 1, { order, result: "withheld" });
        }
    }

    /** Removes the state of hosts that are no longer listed. */
    removeUnlistedHosts(hosts: ReadonlyMap<string, ListedHost>): void {
        [...this.sent.keys()].filter(host => !hosts.has(host)).forEach(host => {
            this.sent.delete(host);
            this.withheld.delete(host);
        });
    }

    private async send(target: ListedHost, order: Order): Promise<void> {
        const { engine, metrics, eventLog } = this.options;
        const orderFields = { host: target.host, order: order.order, group: order.group, fence: order.fence };
        const result = await engine.order(target.url, order, ORDER_DEADLINE_MILLISECONDS);
        metrics.increment("groups.orders", 1, { order: order.order, result: result.ok ? "done" : result.val.kind });
        if (result.err) {
            eventLog.emit("orderFailed", { ...orderFields, status: result.val.status, message: result.val.message });
        }
        else if (order.order === "clear") {
            eventLog.emit("hostCleared", orderFields);
        }
    }
}

function mayRetry(attempts: number, endedAt: number, observation: Observation | undefined, now: number): boolean {
    const wait = Math.min(RETRY_MAXIMUM_MILLISECONDS, RETRY_BASE_MILLISECONDS * 2 ** (attempts - 1));
    return now - endedAt >= wait && (observation?.observedAt ?? Number.NEGATIVE_INFINITY) >= endedAt;
}
