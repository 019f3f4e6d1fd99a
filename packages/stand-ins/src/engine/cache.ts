/**
 * Prefix cache with a limited number of blocks. Its events are published with a delay and some are lost, as with a real
 * engine.
 */

/** Cache event: the hashes of the blocks that were stored and evicted. */
export interface CacheEvent {
    readonly offset: number;
    readonly stored: readonly string[];
    readonly evicted: readonly string[];
}

/** Limits of the cache and its event stream. */
export interface CacheOptions {
    readonly blocks: number;
    readonly lagMilliseconds: number;
    /** Number of events that are retained. A reader that falls further behind sees a gap. */
    readonly retainedEvents: number;
    /** One event in this many is lost; 0 disables loss. */
    readonly lossInterval: number;
}

/** Prefix cache of one engine. */
export interface PrefixCache {
    /** Returns the number of leading blocks that were cached, then caches all given blocks. */
    lookUpAndStore(hashes: readonly string[], now: number): number;
    clear(now: number): void;
    events(from: number, now: number): {
        readonly firstOffset: number;
        readonly nextOffset: number;
        readonly events: readonly CacheEvent[];
    };
}

/** Creates an empty cache. */
export function createPrefixCache(options: CacheOptions): PrefixCache {
    // A Set iterates in insertion order, so its first element is the least recently used block.
    const blocks = new Set<string>();
    let events: (CacheEvent & { readonly at: number; })[] = [];
    let nextOffset = 0;

    const publish = (stored: readonly string[], evicted: readonly string[], now: number): void => {
        const offset = nextOffset++;
        if (options.lossInterval === 0 || (offset + 1) % options.lossInterval !== 0) {
            events = [...events, { offset, stored, evicted, at: now }].slice(-options.retainedEvents);
        }
    };
    return {
        lookUpAndStore: (hashes, now) => {
            const missing = hashes.findIndex(hash => !blocks.has(hash));
            const hits = missing === -1 ? hashes.length : missing;
            const stored = hashes.filter(hash => !blocks.has(hash));
            hashes.forEach(hash => {
                blocks.delete(hash);
                blocks.add(hash);
            });
            const evicted = [...blocks].slice(0, Math.max(0, blocks.size - options.blocks));
            evicted.forEach(hash => blocks.delete(hash));
            if (stored.length > 0 || evicted.length > 0) {
                publish(stored, evicted, now);
            }
            return hits;
        },
        clear: now => {
            const evicted = [...blocks];
            blocks.clear();
            if (evicted.length > 0) {
                publish([], evicted, now);
            }
        },
        events: (from, now) => {
            const visible = events.filter(({ at }) => at + options.lagMilliseconds <= now);
            return {
                firstOffset: events[0]?.offset ?? nextOffset,
                nextOffset: (visible.at(-1)?.offset ?? (events[0]?.offset ?? nextOffset) - 1) + 1,
                events: visible.filter(({ offset }) => offset >= from).map(({ offset, stored, evicted }) => ({
                    offset,
                    stored,
                    evicted,
                })),
            };
        },
    };
}
