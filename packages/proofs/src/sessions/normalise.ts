/** Normalisation of recorded sessions: ids, addresses and times are replaced, everything else stays. */

/** Kind of value that differs between runs, with the pattern that finds it in text. */
interface Variable {
    readonly label: string;
    readonly pattern: RegExp;
}

/** Replaces what differs between runs. The same value always gets the same name within one session. */
export interface Normaliser {
    normalise(value: unknown): unknown;
}

/** Fields whose numbers are times or depend on the timing of a run. */
const TIMED_FIELDS = new Set([
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
/** Fields whose numbers are offsets of streams on which daemons write at their own times. */
const OFFSET_FIELDS = new Set(["fence"]);

const VARIABLES: readonly Variable[] = [
    { label: "EDIT", pattern: /proofs-\d+-\d+-\d+/g },
    { label: "URL", pattern: /http:\/\/127\.0\.0\.1:\d+/g },
    { label: "ADDRESS", pattern: /127\.0\.0\.1:\d+/g },
    { label: "UUID", pattern: /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g },
];

/** Makes the normaliser of one session. `known` gives names to addresses, such as the URL of each process. */
export function createNormaliser(known: ReadonlyMap<string, string>, requestIdPattern: RegExp): Normaliser {
    const names = new Map(known);
    const counts = new Map<string, number>();
    const nameOf = (label: string, found: string): string => {
        const present = names.get(found);
        if (present !== undefined) {
            return present;
        }
        const number = (counts.get(label) ?? 0) + 1;
        counts.set(label, number);
        const name = `<${label} ${number}>`;
        names.set(found, name);
        return name;
    };
    const variables = [{ label: "REQUEST", pattern: requestIdPattern }, ...VARIABLES];
    const text = (value: string): string =>
        variables.reduce(
            (sofar, { label, pattern }) => sofar.replace(pattern, found => nameOf(label, found)),
            value.replace(/"created":\d+/g, '"created":<TIME>'),
        );
    const field = (key: string, value: unknown): unknown => {
        if (typeof value === "number" && TIMED_FIELDS.has(key)) {
            return "<TIME>";
        }
        if (typeof value === "number" && OFFSET_FIELDS.has(key)) {
            return nameOf("OFFSET", `${key} ${value}`);
        }
        if (typeof value === "string" && key === "group") {
            return nameOf("GROUP", value);
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
