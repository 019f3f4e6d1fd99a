/** Canonical serialization: equal states have equal text and equal hashes on every daemon. */
import { createHash } from "node:crypto";
import { configure } from "safe-stable-stringify";

const stringify = configure({ deterministic: true, bigint: false });

/** Serializes a value as JSON with sorted keys. Objects with `toJSON`, such as persistent maps, are converted first. */
export function canonicalText(value: unknown): string {
    return stringify(value) ?? "";
}

/** Number of list items serialized in one step; a step takes about 1 ms for held keys. */
const ITEMS_PER_STEP = 128;
/** Depth down to which values are serialized in steps. Deeper values are serialized in one step. */
const MAXIMUM_STEP_DEPTH = 2;

/**
 * Serializes like `canonicalText`, but in pieces, so that a large state does not block the event loop. The pieces join
 * to the same text.
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
    else if (isRecord(plain) && depth < MAXIMUM_STEP_DEPTH) {
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

/** Returns the SHA-256 of a text in hex. */
export function sha256Hex(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

function toPlain(value: unknown): unknown {
    return isRecord(value) && typeof value["toJSON"] === "function" ? value["toJSON"]() : value;
}

/** Whether a value is an object with fields. `Object(value)` differs from `value` if it is the null of JSON. */
function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && Object(value) === value && !Array.isArray(value);
}
