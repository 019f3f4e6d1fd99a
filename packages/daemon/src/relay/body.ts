/** Reads the body of a caller's request into memory. */
import type { IncomingMessage } from "node:http";

/** The body, or the reason why it could not be read. */
export type BodyResult =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "cut"; };

/** Reads a body of at most `maximumBytes` bytes. */
export function readBody(request: IncomingMessage, maximumBytes: number): Promise<BodyResult> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maximumBytes) {
                chunks.length = 0;
                resolve({ kind: "too-large" });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => resolve({ kind: "whole", body: Buffer.concat(chunks) }));
        request.on("error", () => resolve({ kind: "cut" }));
        request.on("close", () => resolve({ kind: "cut" }));
    });
}
