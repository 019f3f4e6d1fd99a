/** Polls for conditions that depend on other processes. */
import { setTimeout as delay } from "node:timers/promises";

const POLL_MILLISECONDS = 25;

/**
 * Polls until `probe` returns a value other than undefined or false, and returns it. Errors of the probe are retried.
 * Throws after `boundMilliseconds`, with the error of the last poll if there was one.
 */
export async function waitFor<Value>(
    description: string,
    boundMilliseconds: number,
    probe: () => Promise<Value | undefined | false> | Value | undefined | false,
): Promise<Value> {
    const deadline = performance.now() + boundMilliseconds;
    let lastError: unknown;
    while (performance.now() < deadline) {
        try {
            const value = await probe();
            if (value !== undefined && value !== false) {
                return value;
            }
            lastError = undefined;
        }
        catch (error) {
            lastError = error;
        }
        await delay(POLL_MILLISECONDS);
    }
    const errorSuffix = lastError === undefined ? "" : `: ${String(lastError)}`;
    throw new Error(`No ${description} within ${boundMilliseconds} ms${errorSuffix}`);
}
