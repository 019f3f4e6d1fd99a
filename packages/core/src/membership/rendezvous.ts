/** Rendezvous hashing: a choice of names for a key that changes little when a name comes or goes. */
import { createHash } from "node:crypto";

/**
 * Returns up to `count` of the names, best first. Every daemon with the same names gets the same answer, whatever
 * their order; when a name goes, only the keys that it served move.
 */
export function rendezvous(key: string, names: readonly string[], count: number): string[] {
    return [...new Set(names)]
        .map(name => ({ name, score: scoreOf(key, name) }))
        .sort((left, right) => left.score < right.score ? 1 : -1)
        .slice(0, Math.max(0, count))
        .map(({ name }) => name);
}

/** SHA-256 of key and name in hex; the length of the key keeps different pairs apart. */
function scoreOf(key: string, name: string): string {
    return createHash("sha256").update(`${key.length}:${key}:${name}`).digest("hex");
}
