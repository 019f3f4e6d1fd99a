/** Reads a caller's request into memory, within the limits of the configuration. */
import type { CallerLimits } from "@damaskvale/core";
import type { IncomingMessage } from "node:http";

/** The body, or the reason why it could not be read. */
export type BodyResult =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "header-too-large" | "body-too-large"; }
    /** The connection was closed before the end of the request. */
    | { readonly kind: "cut"; };

/** Colon and space after a name, or the end of a line after a value. */
const HEADER_SEPARATOR_BYTES = 2;

/** Reads the body of a request, unless its head or its body exceeds a limit; there are none without a configuration. */
export async function readWithinLimits(message: IncomingMessage, limits?: CallerLimits): Promise<BodyResult> {
    if (limits !== undefined && headerBytesOf(message.rawHeaders) > limits.headerBytes) {
        return { kind: "header-too-large" };
    }
    return readBody(message, limits?.bodyBytes ?? Number.POSITIVE_INFINITY);
}

function headerBytesOf(rawHeaders: readonly string[]): number {
    return rawHeaders.reduce((sum, text) => sum + text.length + HEADER_SEPARATOR_BYTES, 0);
}

function readBody(request: IncomingMessage, maximumBytes: number): Promise<BodyResult> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maximumBytes) {
                chunks.length = 0;
                resolve({ kind: "body-too-large" });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => resolve({ kind: "whole", body: Buffer.concat(chunks) }));
        request.on("error", () => resolve({ kind: "cut" }));
        request.on("close", () => resolve({ kind: "cut" }));
    });
}
