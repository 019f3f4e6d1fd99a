/** Rendezvous hashing: assigns names to a key with few reassignments when a name is added or removed. */
import { createHash } from "node:crypto";

/**
 * Returns up to `count` of the names, highest score first. The result does not depend on the order of the names, so all
 * daemons that know the same names get the same result. When a name is removed, only the keys assigned to it move.
 */
export function rendezvous(key: string, names: readonly string[], count: number): string[] {
    return [...new Set(names)]
        .map(name => ({ name, score: scoreOf(key, name) }))
        .sort((left, right) => left.score < right.score ? 1 : -1)
        .slice(0, Math.max(0, count))
        .map(({ name }) => name);
}

/** SHA-256 of key and name in hex. The length of the key is included so that different pairs give different texts. */
function scoreOf(key: string, name: string): string {
    return createHash("sha256").update(`${key.length}:${key}:${name}`).digest("hex");
}
