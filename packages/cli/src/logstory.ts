/** The story of one request, from the log lines of several daemons. */

/** A line of a daemon's log. */
export interface LogLine {
    readonly time: string;
    readonly daemon: string;
    readonly event: number;
    readonly message: string;
    /** All other fields. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that every line has, or that say nothing about the request. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
    "daemon",
    "dataCentre",
    "event",
    "hostname",
    "level",
    "msg",
    "name",
    "pid",
    "time",
    "v",
]);
/** How long before and after the request lines about its targets belong to its story. */
const CONTEXT_MILLISECONDS = 3_000;

/** Reads the lines of a log; what is no line of a daemon is left out. A prefix before the JSON is allowed. */
export function parseLogLines(text: string): LogLine[] {
    return text.split("\n").flatMap(line => parseLogLine(line) ?? []);
}

function parseLogLine(line: string): LogLine | undefined {
    const start = line.indexOf("{");
    if (start === -1) {
        return undefined;
    }
    try {
        const entry = JSON.parse(line.slice(start)) as Record<string, unknown>;
        const { time, daemon, event, msg } = entry;
        if (typeof time !== "string" || typeof daemon !== "string" || typeof event !== "number") {
            return undefined;
        }
        const fields = Object.fromEntries(Object.entries(entry).filter(([name]) => !COMMON_FIELDS.has(name)));
        return { time, daemon, event, message: typeof msg === "string" ? msg : "", fields };
    }
    catch {
        // Standard output may also hold lines of other programs.
        return undefined;
    }
}

/**
 * Returns the lines of a request, and those about the targets that it was sent to from shortly before it to shortly after
 * it, in the order of their times. Empty if no line names the request.
 */
export function storyOf(lines: readonly LogLine[], requestId: string): LogLine[] {
    const own = lines.filter(({ fields }) => fields["requestId"] === requestId);
    const times = own.map(({ time }) => Date.parse(time));
    const targets = new Set(
        own.flatMap(({ fields }) => [fields["target"], fields["from"], fields["to"]]).filter(isText),
    );
    const first = Math.min(...times) - CONTEXT_MILLISECONDS;
    const last = Math.max(...times) + CONTEXT_MILLISECONDS;
    const concerns = ({ time, fields }: LogLine): boolean =>
        fields["requestId"] === undefined && Date.parse(time) >= first && Date.parse(time) <= last
        && [fields["host"], fields["target"], ...listOf(fields["members"])].some(id => isText(id) && targets.has(id));
    const context = lines.filter(concerns);
    return [...own, ...context].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
}

/** Renders a line for people. */
export function renderLogLine({ time, daemon, event, message, fields }: LogLine): string {
    const details = Object.entries(fields).map(([name, value]) =>
        `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`
    );
    return [time, daemon, event, message, ...details].join("  ");
}

function isText(value: unknown): value is string {
    return typeof value === "string";
}

function listOf(value: unknown): readonly unknown[] {
    return Array.isArray(value) ? value : [];
}
