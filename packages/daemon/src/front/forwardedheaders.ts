/** Which headers pass between callers and plain services. */

/** Headers of one connection, which no intermediary passes on (RFC 9110, 7.6.1). */
const hopByHop = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];
/** Headers that the daemon sets itself, and headers that would change the method that was checked. */
const replaced = [
    "authorization",
    "host",
    "content-length",
    "idempotency-key",
    "traceparent",
    "x-attempt-id",
    "x-http-method",
    "x-http-method-override",
    "x-method-override",
];

type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Returns the headers of a caller that a service gets. */
export function requestHeaders(headers: HeaderValues): Record<string, string> {
    const named = connectionNames(headers["connection"]);
    return Object.fromEntries(
        Object.entries(headers).flatMap(([name, value]) =>
            value === undefined || hopByHop.includes(name) || replaced.includes(name) || named.includes(name)
                || name.startsWith("x-damaskvale-")
                ? []
                : [[name, typeof value === "string" ? value : value.join(", ")]]
        ),
    );
}

/** Returns the headers of a service that a caller gets; the length only where there is no body to measure. */
export function answerHeaders(
    headers: Readonly<Record<string, string>>,
    keepLength: boolean,
): Record<string, string | string[]> {
    const named = connectionNames(headers["connection"]);
    return Object.fromEntries(
        Object.entries(headers).flatMap(([name, value]): [string, string | string[]][] =>
            hopByHop.includes(name) || named.includes(name) || name === "x-attempt-id"
                || (name === "content-length" && !keepLength)
                || (name.startsWith("x-damaskvale-") && name !== "x-damaskvale-replayed")
                ? []
                : [[name, name === "set-cookie" ? value.split("\n") : value]]
        ),
    );
}

function connectionNames(value: string | readonly string[] | undefined): string[] {
    return String(value ?? "").split(",").map(name => name.trim().toLowerCase());
}
