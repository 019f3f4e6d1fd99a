/** Finds the log lines relevant to one request in the logs of several daemons. */

/** A line of a daemon's log. */
export interface LogLine {
    readonly time: string;
    readonly daemon: string;
    readonly event: number;
    readonly message: string;
    /** All fields except the common ones. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that every line has or that say nothing about the request. */
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
/** Time before and after the request within which lines about its targets are included. */
const CONTEXT_MILLISECONDS = 3_000;

/** Parses the lines of a log. Lines that a daemon did not write are ignored. A prefix before the JSON is allowed. */
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
        // Standard output may also contain lines of other programs.
        return undefined;
    }
}

/**
 * Returns the lines of a request, and the lines about its targets from shortly before until shortly after the request,
 * sorted by time. Returns no lines if no line names the request.
 */
export function findRequestLines(lines: readonly LogLine[], requestId: string): LogLine[] {
    const requestLines = lines.filter(({ fields }) => fields["requestId"] === requestId);
    const times = requestLines.map(({ time }) => Date.parse(time));
    const targets = new Set(
        requestLines.flatMap(({ fields }) => [fields["target"], fields["from"], fields["to"]]).filter(isString),
    );
    const first = Math.min(...times) - CONTEXT_MILLISECONDS;
    const last = Math.max(...times) + CONTEXT_MILLISECONDS;
    const isContext = ({ time, fields }: LogLine): boolean =>
        fields["requestId"] === undefined && Date.parse(time) >= first && Date.parse(time) <= last
        && [fields["host"], fields["target"], ...toList(fields["members"])].some(id => isString(id) && targets.has(id));
    const context = lines.filter(isContext);
    return [...requestLines, ...context].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
}

/** Renders a log line as readable text. */
export function renderLogLine({ time, daemon, event, message, fields }: LogLine): string {
    const details = Object.entries(fields).map(([name, value]) =>
        `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`
    );
    return [time, daemon, event, message, ...details].join("  ");
}

function isString(value: unknown): value is string {
    return typeof value === "string";
}

function toList(value: unknown): readonly unknown[] {
    return Array.isArray(value) ? value : [];
}
