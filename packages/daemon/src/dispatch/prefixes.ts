/** Hashes of the prefix blocks of a prompt, as the engines name them in their cache events. */
import { createHash } from "node:crypto";

/** Bytes of the prompt's JSON text that one block covers. */
const BLOCK_BYTES = 256;
/** Hex digits of one hash. */
const HASH_DIGITS = 16;
/** Blocks beyond this do not change the choice of a target. */
const MAXIMUM_BLOCKS = 64;

/** Returns the chained hashes of the whole blocks of the prompt, longest prefix last. */
export function hashPrefixes(messages: unknown): string[] {
    const prompt = Buffer.from(JSON.stringify(messages) ?? "");
    const count = Math.min(MAXIMUM_BLOCKS, Math.floor(prompt.length / BLOCK_BYTES));
    return [...Array(count).keys()].reduce<string[]>((hashes, index) => {
        const block = prompt.subarray(index * BLOCK_BYTES, (index + 1) * BLOCK_BYTES);
        const digest = createHash("sha256").update(hashes.at(-1) ?? "").update(block).digest("hex");
        return [...hashes, digest.slice(0, HASH_DIGITS)];
    }, []);
}
