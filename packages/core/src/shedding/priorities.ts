/** Priorities of requests: 0 is the most urgent, 9 the least. */
import type { RelayConfiguration } from "../routes/types.js";

/** Number of priorities. */
export const PRIORITY_COUNT = 10;
const DEFAULT_PRIORITY = 5;

/** Returns the nearest priority in range, as a whole number. */
export function clampPriority(priority: number): number {
    return Number.isNaN(priority)
        ? DEFAULT_PRIORITY
        : Math.round(Math.min(PRIORITY_COUNT - 1, Math.max(0, priority)));
}

/** Returns the services whose routes state different priorities; only their requests are admitted by priority. */
export function findPrioritizedServices({ routes }: RelayConfiguration): ReadonlySet<string> {
    const prioritiesByService = new Map<string, Set<number>>();
    routes.forEach(({ targets, priority }) =>
        targets.forEach(({ service }) => {
            const priorities = prioritiesByService.get(service) ?? new Set<number>();
            prioritiesByService.set(service, priorities.add(clampPriority(priority)));
        })
    );
    return new Set(
        [...prioritiesByService].filter(([, priorities]) => priorities.size > 1).map(([service]) => service),
    );
}
