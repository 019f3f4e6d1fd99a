/** Registry of the requests in progress at this daemon. */
import type { Delivery } from "./delivery.js";
import type { Lifetime } from "./lifetime.js";

/** Request in progress. */
export interface ActiveRequest {
    readonly lifetime: Lifetime;
    readonly delivery: Delivery;
}

/** Registry of requests in progress. */
export interface ActiveRequests {
    add(id: string, request: ActiveRequest): void;
    remove(id: string): void;
    size(): number;
    /** Resolves when no request is in progress. */
    idle(): Promise<void>;
    /** Stops all requests in progress and returns their ids. */
    cutOff(): string[];
}

/** Creates an empty registry. */
export function createActiveRequests(): ActiveRequests {
    const active = new Map<string, ActiveRequest>();
    const idleWaiters = new Set<() => void>();
    return {
        add: (id, request) => {
            active.set(id, request);
        },
        remove: id => {
            active.delete(id);
            if (active.size === 0) {
                [...idleWaiters].forEach(resolve => resolve());
                idleWaiters.clear();
            }
        },
        size: () => active.size,
        idle: () => active.size === 0 ? Promise.resolve() : new Promise(resolve => idleWaiters.add(resolve)),
        cutOff: () => {
            const ids = [...active.keys()];
            [...active.values()].forEach(({ lifetime }) => lifetime.stop("cut"));
            return ids;
        },
    };
}
