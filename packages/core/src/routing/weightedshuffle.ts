/** Random order of weighted items. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Shuffles items as if drawn one after another, each with a chance proportional to its weight. */
export function weightedShuffle<Item>(
    items: readonly Item[],
    weightOf: (item: Item) => number,
    random: RandomGenerator,
): Item[] {
    // Sorting by exponential variables divided by the weights is equivalent to weighted sampling without replacement.
    return items
        .map(item => ({ item, at: -Math.log(1 - uniformFloat64(random)) / weightOf(item) }))
        .sort((left, right) => left.at - right.at)
        .map(({ item }) => item);
}
