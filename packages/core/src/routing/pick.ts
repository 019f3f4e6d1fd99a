/** Random draws by weight. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Draws up to `count` different items; the chance of each draw is proportional to the weight. */
export function drawByWeight<Item>(
    items: readonly Item[],
    weightOf: (item: Item) => number,
    count: number,
    random: RandomGenerator,
): Item[] {
    const left = items.map(item => ({ item, weight: weightOf(item) }));
    return Array.from({ length: Math.min(count, items.length) }, () => {
        const total = left.reduce((sum, { weight }) => sum + weight, 0);
        let rest = uniformFloat64(random) * total;
        const found = left.findIndex(({ weight }) => {
            rest -= weight;
            return rest < 0;
        });
        const [drawn] = left.splice(found < 0 ? left.length - 1 : found, 1);
        return (drawn as { item: Item; }).item;
    });
}
