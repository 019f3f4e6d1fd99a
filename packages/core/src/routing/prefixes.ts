/** Which targets hold which prefix blocks, in bounded memory. */
import { LRUCache } from "lru-cache";

/** Holders that are remembered of one block; more would not widen the choice. */
const HOLDERS_PER_BLOCK = 8;
/** Targets whose blocks are remembered; above the groups of a model in all data centres. */
const TARGETS = 1_024;

/** Placement of prefix blocks. */
export interface PrefixMap {
    /** Notes that a target holds these blocks. */
    stored(target: string, blocks: readonly string[]): void;
    evicted(target: string, blocks: readonly string[]): void;
    /** Forgets everything about a target. */
    forget(target: string): void;
    /** Leading blocks of the prompt that each target holds; targets that hold none are absent. */
    match(blocks: readonly string[]): ReadonlyMap<string, number>;
}

/**
 * Makes a placement of at most `capacity` blocks; the least recently used block goes first. Forgetting a target raises
 * its generation instead of a search through all blocks.
 */
export function createPrefixMap(capacity: number): PrefixMap {
    const holders = new LRUCache<string, Map<string, number>>({ max: capacity });
    const generations = new LRUCache<string, number>({ max: TARGETS });
    let generation = 0;

    const generationOf = (target: string): number => {
        const known = generations.get(target);
        if (known !== undefined) {
            return known;
        }
        generation += 1;
        generations.set(target, generation);
        return generation;
    };

    const store = (target: string, block: string): void => {
        const targets = holders.get(block) ?? new Map<string, number>();
        targets.delete(target);
        targets.set(target, generationOf(target));
        const [oldest] = targets.keys();
        if (targets.size > HOLDERS_PER_BLOCK && oldest !== undefined) {
            targets.delete(oldest);
        }
        holders.set(block, targets);
    };

    const match = (blocks: readonly string[]): ReadonlyMap<string, number> => {
        const matched = new Map<string, number>();
        blocks.forEach((block, index) => {
            holders.get(block)?.forEach((held, target) => {
                if (generations.peek(target) === held) {
                    matched.set(target, index + 1);
                }
            });
        });
        return matched;
    };

    return {
        stored: (target, blocks) => blocks.forEach(block => store(target, block)),
        evicted: (target, blocks) => blocks.forEach(block => holders.peek(block)?.delete(target)),
        forget: target => {
            generations.delete(target);
        },
        match,
    };
}
