/** Estimates for admission: the capacity of the daemon, and the cost of a request. */
import type { DispatcherOptions } from "./options.js";
import type { DispatchRequest } from "./types.js";

/** How long a computed capacity is used before the groups are counted again. */
const CAPACITY_REFRESH_INTERVAL_MILLISECONDS = 250;
/** Expected completion length of a request that sets no maximum. */
const EXPECTED_COMPLETION_TOKENS = 256;
/** Approximate number of prompt bytes in one token. */
const BYTES_PER_TOKEN = 4;

/** Returns a function that updates the capacity of admission once the last computed capacity is too old. */
export function createCapacityRefresh(options: DispatcherOptions): () => void {
    let refreshedAt = -Infinity;
    return () => {
        const now = options.clock.monotonic();
        if (now - refreshedAt >= CAPACITY_REFRESH_INTERVAL_MILLISECONDS) {
            refreshedAt = now;
            options.admission.setCapacity(computeCapacity(options), now);
        }
    };
}

/** Estimates the cost of a request in tokens. */
export function estimateTokens(request: DispatchRequest): number {
    if (request.kind === "service") {
        return 1;
    }
    const maximumTokens = request.body["max_completion_tokens"] ?? request.body["max_tokens"];
    const completionTokens = typeof maximumTokens === "number" && maximumTokens > 0
        ? maximumTokens
        : EXPECTED_COMPLETION_TOKENS;
    return Math.ceil(request.rawBody.length / BYTES_PER_TOKEN) + completionTokens;
}

function computeCapacity({ table, groups, concurrencyPerGroup }: DispatcherOptions): number {
    return table.current().rows.reduce((total, { row }) => {
        if (row.kind === "model") {
            const localGroups = groups.dispatchable(row.name).length;
            return total
                + (localGroups > 0 ? localGroups : groups.remoteDataCentres(row.name).length) * concurrencyPerGroup;
        }
        return row.kind === "service" ? total + (row.concurrency ?? row.urls.length * concurrencyPerGroup) : total;
    }, 0);
}
