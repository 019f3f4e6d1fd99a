/** Canonical serialization, so that equal states have equal text and equal hashes on every daemon. */
import { createHash } from "node:crypto";
import { configure } from "safe-stable-stringify";

const stringify = configure({ deterministic: true, bigint: false });

/** Serializes a value as JSON with sorted keys. Objects with `toJSON`, such as persistent maps, are converted by it. */
export function canonicalText(value: unknown): string {
    return stringify(value) ?? "";
}

/** Items of a list that are serialized in one step; about 1 ms for held keys. */
const ITEMS_PER_STEP = 128;
/** Depth to which values are cut into steps; lists deeper inside are serialized whole. */
const MAXIMUM_DEPTH = 2;

/**
 * Serializes like `canonicalText`, in pieces, so that a large state does not block the process. The pieces together are
 * the text.
 */
export function* canonicalPieces(value: unknown, depth = 0): Generator<string, void> {
    const plain = toPlain(value);
    if (Array.isArray(plain) && plain.length > ITEMS_PER_STEP) {
        for (let start = 0; start < plain.length; start += ITEMS_PER_STEP) {
            const items = canonicalText(plain.slice(start, start + ITEMS_PER_STEP));
            yield `${start === 0 ? "[" : ","}${items.slice(1, -1)}`;
        }
        yield "]";
    }
    else if (isRecord(plain) && depth < MAXIMUM_DEPTH) {
        const fields = Object.entries(plain).filter(([, field]) => field !== undefined);
        for (const [index, [key, field]] of fields.sort(([left], [right]) => left < right ? -1 : 1).entries()) {
            yield `${index === 0 ? "{" : ","}${canonicalText(key)}:`;
            yield* canonicalPieces(field, depth + 1);
        }
        yield fields.length === 0 ? "{}" : "}";
    }
    else {
        yield canonicalText(plain);
    }
}

/** Returns the SHA-256 of a text as hex. */
export function sha256Hex(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

function toPlain(value: unknown): unknown {
    return isRecord(value) && typeof value["toJSON"] === "function" ? value["toJSON"]() : value;
}

/** Whether a value is an object with fields; `Object` turns the null of JSON into another object. */
function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && Object(value) === value && !Array.isArray(value);
}
