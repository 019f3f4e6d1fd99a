/** Hashes of the prefix blocks of a prompt, in the form that the engines use in their prefix cache events. */
import { createHash } from "node:crypto";

/** Size of one block of the prompt's JSON text. */
const BLOCK_BYTES = 256;
/** Length of one hash in hexadecimal digits. */
const HASH_DIGITS = 16;
/** Blocks after this number do not change the choice of a target. */
const MAXIMUM_BLOCKS = 64;

/** Returns the chained hashes of the full blocks of the prompt, longest prefix last. */
export function hashPrefixes(messages: unknown): string[] {
    const prompt = Buffer.from(JSON.stringify(messages) ?? "");
    const count = Math.min(MAXIMUM_BLOCKS, Math.floor(prompt.length / BLOCK_BYTES));
    return [...Array(count).keys()].reduce<string[]>((hashes, index) => {
        const block = prompt.subarray(index * BLOCK_BYTES, (index + 1) * BLOCK_BYTES);
        const digest = createHash("sha256").update(hashes.at(-1) ?? "").update(block).digest("hex");
        return [...hashes, digest.slice(0, HASH_DIGITS)];
    }, []);
}
