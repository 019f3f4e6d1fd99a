/** Groups lists, because Node.js 20 does not have `Map.groupBy`. */

/** Groups items by a key. Keys and items keep their order of appearance. */
export function groupBy<Item, Key>(items: readonly Item[], keyOf: (item: Item) => Key): Map<Key, Item[]> {
    const groups = new Map<Key, Item[]>();
    items.forEach(item => {
        const key = keyOf(item);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [item]);
        }
        else {
            group.push(item);
        }
    });
    return groups;
}
