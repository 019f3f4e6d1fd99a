/** Rendezvous hashing: every daemon that knows the same names makes the same choice. */
import { createHash } from "node:crypto";

/** Returns the `count` names with the highest hash together with the key, the highest first. */
export function rendezvous(key: string, names: readonly string[], count: number): string[] {
    return names
        .map(name => ({ name, score: createHash("sha256").update(`${key}\n${name}`).digest("hex") }))
        .toSorted((one, other) => one.score < other.score ? 1 : one.score > other.score ? -1 : 0)
        .slice(0, count)
        .map(({ name }) => name);
}
