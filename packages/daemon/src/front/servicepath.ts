/** Validates the paths of requests to plain services. */
import { Err, Ok, type Result } from "ts-results";
import type { CallerError } from "../dispatch/types.js";

/** Name of a service and the path to request from it. */
export interface ServicePath {
    readonly service: string;
    /** Starts with a slash. */
    readonly path: string;
}

/** Characters that need no percent encoding, and separators that some servers also decode as separators. */
const AMBIGUOUS_WHEN_ENCODED = /^[A-Za-z0-9\-._~/\\;%]$/;

/**
 * Splits `/services/NAME/PATH`. The table marks calls as not repeatable by path prefix, so a path is refused if a
 * service could interpret it as a different path: dot segments, empty segments, parameters, backslashes, and unnecessary
 * percent encoding.
 */
export function parseServicePath(text: string): Result<ServicePath, CallerError> {
    const [, , service = "", ...segments] = text.split("/");
    const path = `/${segments.join("/")}`;
    if (service === "" || !isUnambiguous(path)) {
        return Err({ code: "route_not_found", message: "The path is not in normal form." });
    }
    return Ok({ service, path });
}

function isUnambiguous(path: string): boolean {
    const segments = path.slice(1).split("/");
    const encoded = path.match(/%.{0,2}/g) ?? [];
    return /^[\x21\x23-\x3a\x3c-\x5b\x5d\x5f\x61-\x7a\x7e]*$/.test(path)
        && !segments.some(segment => segment === "." || segment === "..")
        && !segments.slice(0, -1).some(segment => segment === "")
        && encoded.every(part => {
            const code = /^%[0-9A-Fa-f]{2}$/.test(part) ? Number.parseInt(part.slice(1), 16) : 0;
            return code >= 0x20 && code !== 0x7f && !AMBIGUOUS_WHEN_ENCODED.test(String.fromCharCode(code));
        });
}
