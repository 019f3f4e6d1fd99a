/** Reads request bodies with a size limit and a timeout. */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import type { CallerError } from "../dispatch/types.js";
import { createGrowingBuffer } from "../growingbuffer.js";

/** Limits of a request body. */
export interface BodyLimits {
    readonly maximumBodyBytes: number;
    readonly bodyTimeoutMilliseconds: number;
}

/** Reads the body. Stops early if the body is too large or does not arrive in time. */
export function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer, CallerError>> {
    const tooLarge: CallerError = {
        code: "body_too_large",
        message: `The body is longer than ${limits.maximumBodyBytes} bytes.`,
    };
    if (Number(request.headers["content-length"] ?? 0) > limits.maximumBodyBytes) {
        return Promise.resolve(Err(tooLarge));
    }
    return new Promise(resolve => {
        const body = createGrowingBuffer();
        const finish = (result: Result<Buffer, CallerError>): void => {
            clearTimeout(timer);
            request.off("data", onData).off("end", onEnd).off("error", onConnectionLost).off("close", onConnectionLost);
            request.on("error", () => undefined);
            resolve(result);
        };
        const onData = (chunk: Buffer): void => {
            body.append(chunk);
            if (body.length() > limits.maximumBodyBytes) {
                finish(Err(tooLarge));
            }
        };
        const onEnd = (): void => finish(Ok(body.take()));
        const onConnectionLost = (): void =>
            finish(Err({ code: "malformed_body", message: "The connection ended within the body." }));
        const timer = setTimeout(
            () => finish(Err({ code: "request_timeout", message: "The body did not arrive in time." })),
            limits.bodyTimeoutMilliseconds,
        );
        request.on("data", onData).on("end", onEnd).on("error", onConnectionLost).on("close", onConnectionLost);
    });
}
