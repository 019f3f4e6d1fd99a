/** Random draws by weight. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Draws all items one after another; the chance of each draw is proportional to the weight. */
export function drawByWeight<Item>(
    items: readonly Item[],
    weightOf: (item: Item) => number,
    random: RandomGenerator,
): Item[] {
    // The order by exponential variables divided by the weights is that of draws by weight without replacement.
    return items
        .map(item => ({ item, at: -Math.log(1 - uniformFloat64(random)) / weightOf(item) }))
        .sort((left, right) => left.at - right.at)
        .map(({ item }) => item);
}
