/** Interprets answers of targets: refusals before the start, and answers that belong to another attempt. */
import type { TargetFailure } from "../ports/engine.js";

/** Error codes, by status, with which a target states that it refused a request before starting it. */
const refusalCodes: Readonly<Record<number, string>> = { 409: "wrong_group", 503: "not_started" };

/** Returns the refusal that an answer contains, if any. */
export function refusalOf(status: number, body: Buffer): TargetFailure | undefined {
    const expected = refusalCodes[status];
    if (expected === undefined || errorCodeOf(parseObject(body)) !== expected) {
        return undefined;
    }
    return { kind: "refused", status, message: `the target refused before starting: ${expected}` };
}

/** Returns whether the headers of an answer name a different attempt than the requested one. */
export function belongsToAnotherAttempt(headers: Readonly<Record<string, string>>, attemptId: string): boolean {
    const attemptInAnswer = headers["x-attempt-id"];
    return attemptInAnswer !== undefined && attemptInAnswer !== attemptId;
}

/** Parses a JSON object; returns `undefined` for anything else. */
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
