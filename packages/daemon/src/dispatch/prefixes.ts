/** Hashes of the prefix blocks of a prompt, for the choice of a target that has them cached. */
import { createHash } from "node:crypto";

/** Characters of one block; engines cache in blocks of some hundred tokens. */
const BLOCK_CHARACTERS = 1_024;
/** Blocks beyond this do not change the choice. */
const MAXIMUM_BLOCKS = 32;

/** Returns the hashes of the prefix blocks, longest prefix last. */
export function hashPrefixes(model: string, messages: unknown): string[] {
    const text = JSON.stringify(messages) ?? "";
    const blocks = Math.min(MAXIMUM_BLOCKS, Math.floor(text.length / BLOCK_CHARACTERS));
    const hash = createHash("sha1").update(model);
    return [...Array(blocks).keys()].map(index => {
        hash.update(text.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS));
        return hash.copy().digest("base64url");
    });
}
