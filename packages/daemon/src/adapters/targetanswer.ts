/** What answers of targets mean: refusals before the start, and answers that belong to another attempt. */
import type { TargetFailure } from "../ports/engine.js";

/** Error codes with which a target says that it refused a request before starting it, by status. */
const refusalCodes: Readonly<Record<number, string>> = { 409: "wrong_group", 503: "not_started" };

/** Returns the refusal that an answer states, if it states one. */
export function refusalOf(status: number, body: Buffer): TargetFailure | undefined {
    const expected = refusalCodes[status];
    if (expected === undefined || errorCodeOf(parseObject(body)) !== expected) {
        return undefined;
    }
    return { kind: "refused", status, message: `the target refused before starting: ${expected}` };
}

/** Whether the answer names another attempt than the one that it was asked for. */
export function isForeign(headers: Readonly<Record<string, string>>, attemptId: string): boolean {
    const named = headers["x-attempt-id"];
    return named !== undefined && named !== attemptId;
}

/** Parses a JSON object; anything else gives `undefined`. */
export function parseObject(text: Buffer | string): Readonly<Record<string, unknown>> | undefined {
    try {
        const value: unknown = JSON.parse(text.toString());
        return typeof value === "object" && value !== undefined && !Array.isArray(value) && value
            ? value as Record<string, unknown>
            : undefined;
    }
    catch {
        return undefined;
    }
}

function errorCodeOf(body: Readonly<Record<string, unknown>> | undefined): unknown {
    const error = body?.["error"];
    return typeof error === "object" && error ? (error as Record<string, unknown>)["code"] : error ?? body?.["code"];
}
