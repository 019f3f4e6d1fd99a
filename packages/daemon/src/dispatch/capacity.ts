/** Capacity that admission counts on, and the cost of a request. */
import type { DispatcherOptions } from "./options.js";
import type { DispatchRequest } from "./types.js";

/** How long the computed capacity stands before the groups are counted again. */
const CAPACITY_AGE_MILLISECONDS = 250;
/** Tokens that an answer is expected to have when the caller names no bound. */
const EXPECTED_ANSWER_TOKENS = 256;
/** Bytes of a prompt that make about one token. */
const BYTES_PER_TOKEN = 4;

/** Returns a function that brings the capacity of admission up to date if it is old. */
export function createCapacityRefresh(options: DispatcherOptions): () => void {
    let refreshedAt = -Infinity;
    return () => {
        const now = options.clock.monotonic();
        if (now - refreshedAt >= CAPACITY_AGE_MILLISECONDS) {
            refreshedAt = now;
            options.admission.setCapacity(capacityOf(options), now);
        }
    };
}

/** Estimates the cost of a request in tokens. */
export function estimateTokens(request: DispatchRequest): number {
    if (request.kind === "service") {
        return 1;
    }
    const bound = request.body["max_completion_tokens"] ?? request.body["max_tokens"];
    const answer = typeof bound === "number" && bound > 0 ? bound : EXPECTED_ANSWER_TOKENS;
    return Math.ceil(request.rawBody.length / BYTES_PER_TOKEN) + answer;
}

function capacityOf({ table, groups, concurrencyPerGroup }: DispatcherOptions): number {
    return table.current().rows.reduce((total, { row }) => {
        if (row.kind === "model") {
            const own = groups.dispatchable(row.name).length;
            return total + (own > 0 ? own : groups.elsewhere(row.name).length) * concurrencyPerGroup;
        }
        return row.kind === "service" ? total + (row.concurrency ?? row.urls.length * concurrencyPerGroup) : total;
    }, 0);
}
