/** Maps prefix blocks to the targets that hold them in their prefix cache, in bounded memory. */
import { LRUCache } from "lru-cache";

/** Maximum number of holders recorded for one block; more holders would not improve the choice. */
const HOLDERS_PER_BLOCK = 8;
/** Maximum number of targets with recorded blocks; more than a model has groups in all data centres. */
const MAXIMUM_TARGETS = 1_024;

/** Map from prefix blocks to the targets that hold them. */
export interface PrefixMap {
    /** Records that a target holds these blocks. */
    stored(target: string, blocks: readonly string[]): void;
    evicted(target: string, blocks: readonly string[]): void;
    /** Removes all blocks of a target. */
    removeTarget(target: string): void;
    /** Returns how many leading blocks of the prompt each target holds; targets that hold none are absent. */
    match(blocks: readonly string[]): ReadonlyMap<string, number>;
}

/**
 * Creates a map of at most `capacity` blocks, from which the least recently used block is evicted first. Removing a
 * target invalidates its generation instead of searching all blocks.
 */
export function createPrefixMap(capacity: number): PrefixMap {
    const holders = new LRUCache<string, Map<string, number>>({ max: capacity });
    const generations = new LRUCache<string, number>({ max: MAXIMUM_TARGETS });
    let generation = 0;

    const generationOf = (target: string): number => {
        const existing = generations.get(target);
        if (existing !== undefined) {
            return existing;
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
        removeTarget: target => {
            generations.delete(target);
        },
        match,
    };
}
