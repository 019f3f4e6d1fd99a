/** Canonical serialization, so that equal states have equal text and equal hashes on every daemon. */
import { createHash } from "node:crypto";
import { configure } from "safe-stable-stringify";

const stringify = configure({ deterministic: true, bigint: false });

/** Serializes a value as JSON with sorted keys. Objects with `toJSON`, such as persistent maps, are converted by it. */
export function canonicalText(value: unknown): string {
    return stringify(value) ?? "";
}

/** Returns the SHA-256 of a text as hex. */
export function sha256Hex(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}
