/** Normalisation of recorded sessions: replaces ids, addresses and times by placeholders. */

/** Kind of value that differs between runs, with the pattern that matches it in text. */
interface VariablePattern {
    readonly label: string;
    readonly pattern: RegExp;
}

/** Replaces values that differ between runs. Within a session, equal values get the same placeholder. */
export interface Normaliser {
    normalise(value: unknown): unknown;
}

/** Fields whose numbers are times or depend on the timing of a run. */
const TIME_FIELDS = new Set([
    "start",
    "end",
    "created",
    "time",
    "sequence",
    "ageMilliseconds",
    "reportAgeMilliseconds",
    "retryAfterMilliseconds",
    "milliseconds",
    "at",
]);
/** Fields whose numbers are offsets of streams, which depend on the timing of the daemons' appends. */
const OFFSET_FIELDS = new Set(["fence"]);

const VARIABLE_PATTERNS: readonly VariablePattern[] = [
    { label: "EDIT", pattern: /proofs-\d+-\d+-\d+/g },
    { label: "URL", pattern: /http:\/\/127\.0\.0\.1:\d+/g },
    { label: "ADDRESS", pattern: /127\.0\.0\.1:\d+/g },
    { label: "UUID", pattern: /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g },
];

/** Creates the normaliser of one session. `known` maps values, such as the URL of each process, to placeholders. */
export function createNormaliser(known: ReadonlyMap<string, string>, requestIdPattern: RegExp): Normaliser {
    const placeholders = new Map(known);
    const counts = new Map<string, number>();
    const placeholderOf = (label: string, found: string): string => {
        const present = placeholders.get(found);
        if (present !== undefined) {
            return present;
        }
        const number = (counts.get(label) ?? 0) + 1;
        counts.set(label, number);
        const name = `<${label} ${number}>`;
        placeholders.set(found, name);
        return name;
    };
    const patterns = [{ label: "REQUEST", pattern: requestIdPattern }, ...VARIABLE_PATTERNS];
    const text = (value: string): string =>
        patterns.reduce(
            (previous, { label, pattern }) => previous.replace(pattern, found => placeholderOf(label, found)),
            value.replace(/"created":\d+/g, '"created":<TIME>'),
        );
    const field = (key: string, value: unknown): unknown => {
        if (typeof value === "number" && TIME_FIELDS.has(key)) {
            return "<TIME>";
        }
        if (typeof value === "number" && OFFSET_FIELDS.has(key)) {
            return placeholderOf("OFFSET", `${key} ${value}`);
        }
        if (typeof value === "string" && key === "group") {
            return placeholderOf("GROUP", value);
        }
        return normalise(value);
    };
    const normalise = (value: unknown): unknown => {
        if (typeof value === "string") {
            return text(value);
        }
        if (Array.isArray(value)) {
            return value.map(normalise);
        }
        if (typeof value === "object" && value) {
            return Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, field(key, inner)]));
        }
        return value;
    };
    return { normalise };
}
