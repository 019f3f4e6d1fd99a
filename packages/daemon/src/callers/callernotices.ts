/** Reports refusals and closed connections of callers, at a bounded volume: counts by kind, and the addresses that occur most. */
import type { EventLog } from "../ports/eventlog.js";

/** What was done to a caller. */
export type CallerMeasure =
    /** Its connection was closed, because more was held for callers than the bound. */
    | "closed-for-memory"
    /** Its connection was closed, because there were too many. */
    | "closed-for-connections"
    /** Its request was refused while its body was received, because more was held for callers than the bound. */
    | "refused-for-memory"
    /** Its request was refused, because its body is larger than the limit. */
    | "body-too-large"
    /** No further request was read, because it did not wait for the responses before or did not take them. */
    | "reading-paused";

/** Notices of one daemon. */
export interface CallerNotices {
    record(measure: CallerMeasure, address: string | undefined): void;
}

const REPORT_MILLISECONDS = 5_000;
const MOST_ADDRESSES = 100;
const REPORTED_ADDRESSES = 5;

interface Counted {
    count: number;
    readonly addresses: Map<string, number>;
}

/** Creates the notices. The first of a kind is reported soon, further ones together. */
export function createCallerNotices(log: EventLog): CallerNotices {
    const counted = new Map<CallerMeasure, Counted>();
    let timer: NodeJS.Timeout | undefined;
    const report = (): void => {
        timer = undefined;
        counted.forEach(({ count, addresses }, measure) =>
            log.emit("callersLimited", { measure, count, addresses: mostFrequent(addresses) })
        );
        counted.clear();
    };
    return {
        record: (measure, address = "unknown") => {
            const entry = counted.get(measure) ?? { count: 0, addresses: new Map<string, number>() };
            counted.set(measure, entry);
            entry.count += 1;
            if (entry.addresses.has(address) || entry.addresses.size < MOST_ADDRESSES) {
                entry.addresses.set(address, (entry.addresses.get(address) ?? 0) + 1);
            }
            timer ??= setTimeout(report, REPORT_MILLISECONDS).unref();
        },
    };
}

function mostFrequent(addresses: ReadonlyMap<string, number>): readonly string[] {
    return [...addresses].sort(([, a], [, b]) => b - a).slice(0, REPORTED_ADDRESSES)
        .map(([address, count]) => `${address} (${count})`);
}
