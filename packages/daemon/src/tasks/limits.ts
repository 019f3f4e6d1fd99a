/** Limits task: this daemon's share of each team's limits, from the demand of all daemons. */
import { createDemandTracker, type RowOf, type TeamShare } from "@damaskvale/core";
import type { RelayedDemand } from "../messages.js";
import type { Clock } from "../ports/clock.js";
import type { TableView } from "../ports/tableview.js";
import type { MembersView } from "./membership.js";
import { createPublished, type Published } from "./published.js";

/** Interval between two computations of the shares. */
export const SHARES_INTERVAL_MILLISECONDS = 500;

/** What the task needs. */
export interface LimitsOptions {
    readonly clock: Clock;
    readonly table: Published<TableView>;
    readonly members: Published<MembersView>;
    /** Requests a second that each team asked for since the last call. */
    readonly takeDemand: () => ReadonlyMap<string, number>;
}

/** The limits task. */
export interface LimitsTask {
    readonly shares: Published<readonly TeamShare[]>;
    /** Demand as this daemon states it to the others. */
    localDemand(): Readonly<Record<string, number>>;
    /** Notes the demand that other daemons state. */
    receivePeerDemand(statements: readonly RelayedDemand[]): void;
    start(): void;
    stop(): void;
}

/** Makes the task. */
export function createLimitsTask({ clock, table, members, takeDemand }: LimitsOptions): LimitsTask {
    const book = createDemandTracker();
    const shares = createPublished<readonly TeamShare[]>([]);
    let stated: ReadonlyMap<string, number> = new Map();
    let timer: NodeJS.Timeout | undefined;

    const publish = (): void => {
        const limits = table.current().rows.flatMap(({ row }) => row.kind === "team" ? [limitOf(row)] : []);
        shares.publish(book.shares(limits, knownDaemons(members.current()), clock.monotonic()));
    };
    const step = (): void => {
        stated = book.recordMeasured(takeDemand(), clock.monotonic());
        publish();
    };
    const unsubscribe = table.subscribe(publish);

    return {
        shares,
        localDemand: () => Object.fromEntries(stated),
        receivePeerDemand: statements =>
            statements.forEach(({ daemon, demand, ageMilliseconds }) =>
                book.recordPeer(daemon, new Map(Object.entries(demand)), clock.monotonic(), ageMilliseconds)
            ),
        start: () => {
            step();
            timer = setInterval(step, SHARES_INTERVAL_MILLISECONDS);
        },
        stop: () => {
            unsubscribe();
            clearInterval(timer);
        },
    };
}

/**
 * Counts the daemons that may be serving. Dead ones count, because a daemon behind a network partition looks dead
 * and still serves; only a daemon that left on purpose does not.
 */
function knownDaemons({ others }: MembersView): number {
    return 1 + others.filter(({ news }) => news.state !== "left").length;
}

function limitOf(row: RowOf<"team">): TeamShare {
    const { name, weight, requestsPerSecond, tokensPerSecond, concurrency, queueLength } = row;
    return { team: name, weight, requestsPerSecond, tokensPerSecond, concurrency, queueLength };
}
