/** Task that computes this daemon's share of each team's limits from the demand of all daemons. */
import { createDemandTracker, type RowOf, type TeamShare } from "@damaskvale/core";
import type { RelayedDemand } from "../messages.js";
import type { Clock } from "../ports/clock.js";
import type { TableView } from "../ports/tableview.js";
import type { MembersView } from "./membership.js";
import { createPublished, type Published } from "./published.js";

/** Interval between two computations of the shares. */
export const SHARES_INTERVAL_MILLISECONDS = 500;

/** Options of the limits task. */
export interface LimitsOptions {
    readonly clock: Clock;
    readonly table: Published<TableView>;
    readonly members: Published<MembersView>;
    /** Returns the requests per second that each team asked for since the last call. */
    readonly takeDemand: () => ReadonlyMap<string, number>;
}

/** The limits task. */
export interface LimitsTask {
    readonly shares: Published<readonly TeamShare[]>;
    /** Demand of this daemon as it reports it to its peers: requests per second by team. */
    localDemand(): Readonly<Record<string, number>>;
    /** Records the demand that other daemons report. */
    receivePeerDemand(statements: readonly RelayedDemand[]): void;
    start(): void;
    stop(): void;
}

/** Creates the task. */
export function createLimitsTask({ clock, table, members, takeDemand }: LimitsOptions): LimitsTask {
    const tracker = createDemandTracker();
    const shares = createPublished<readonly TeamShare[]>([]);
    let measuredDemand: ReadonlyMap<string, number> = new Map();
    let timer: NodeJS.Timeout | undefined;

    const publish = (): void => {
        const limits = table.current().rows.flatMap(({ row }) => row.kind === "team" ? [teamLimits(row)] : []);
        shares.publish(tracker.shares(limits, countServingDaemons(members.current()), clock.monotonic()));
    };
    const update = (): void => {
        measuredDemand = tracker.recordMeasured(takeDemand(), clock.monotonic());
        publish();
    };
    const unsubscribe = table.subscribe(publish);

    return {
        shares,
        localDemand: () => Object.fromEntries(measuredDemand),
        receivePeerDemand: statements =>
            statements.forEach(({ daemon, demand, ageMilliseconds }) =>
                tracker.recordPeer(daemon, new Map(Object.entries(demand)), clock.monotonic(), ageMilliseconds)
            ),
        start: () => {
            update();
            timer = setInterval(update, SHARES_INTERVAL_MILLISECONDS);
        },
        stop: () => {
            unsubscribe();
            clearInterval(timer);
        },
    };
}

/**
 * Counts the daemons that may be serving. Daemons that are considered dead count too, because a daemon behind a network
 * partition appears dead and still serves. Only a daemon that left intentionally does not count.
 */
function countServingDaemons({ others }: MembersView): number {
    return 1 + others.filter(({ info }) => info.state !== "left").length;
}

function teamLimits(row: RowOf<"team">): TeamShare {
    const { name, weight, requestsPerSecond, tokensPerSecond, concurrency, queueLength } = row;
    return { team: name, weight, requestsPerSecond, tokensPerSecond, concurrency, queueLength };
}
