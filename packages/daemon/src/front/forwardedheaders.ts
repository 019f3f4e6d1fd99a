/** Filters the headers that are forwarded between callers and plain services. */

/** Hop-by-hop headers, which an intermediary must not forward (RFC 9110, 7.6.1). */
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
/** Request headers that the daemon sets itself, and headers that would override the method that was checked. */
const notForwarded = [
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

/** Returns the request headers that are forwarded to a service. */
export function filterRequestHeaders(headers: HeaderValues): Record<string, string> {
    const connectionHeaders = parseConnectionHeader(headers["connection"]);
    return Object.fromEntries(
        Object.entries(headers).flatMap(([name, value]) =>
            value === undefined || hopByHop.includes(name) || notForwarded.includes(name)
                || connectionHeaders.includes(name)
                || name.startsWith("x-damaskvale-")
                ? []
                : [[name, typeof value === "string" ? value : value.join(", ")]]
        ),
    );
}

/** Returns the response headers that are forwarded to the caller, with `content-length` only if `keepLength` is set. */
export function filterResponseHeaders(
    headers: Readonly<Record<string, string>>,
    keepLength: boolean,
): Record<string, string | string[]> {
    const connectionHeaders = parseConnectionHeader(headers["connection"]);
    return Object.fromEntries(
        Object.entries(headers).flatMap(([name, value]): [string, string | string[]][] =>
            hopByHop.includes(name) || connectionHeaders.includes(name) || name === "x-attempt-id"
                || (name === "content-length" && !keepLength)
                || (name.startsWith("x-damaskvale-") && name !== "x-damaskvale-replayed")
                ? []
                : [[name, name === "set-cookie" ? value.split("\n") : value]]
        ),
    );
}

function parseConnectionHeader(value: string | readonly string[] | undefined): string[] {
    return String(value ?? "").split(",").map(name => name.trim().toLowerCase());
}
