/** Waiting for a condition that another process brings about. */
import { setTimeout as delay } from "node:timers/promises";

const POLL_MILLISECONDS = 25;

/** Polls until `probe` returns a value other than undefined or false; an error of the probe counts as not yet. */
export async function waitFor<Value>(
    what: string,
    boundMilliseconds: number,
    probe: () => Promise<Value | undefined | false> | Value | undefined | false,
): Promise<Value> {
    const end = performance.now() + boundMilliseconds;
    let newest: unknown;
    while (performance.now() < end) {
        try {
            const value = await probe();
            if (value !== undefined && value !== false) {
                return value;
            }
            newest = undefined;
        }
        catch (error) {
            newest = error;
        }
        await delay(POLL_MILLISECONDS);
    }
    const reason = newest === undefined ? "" : `: ${String(newest)}`;
    throw new Error(`No ${what} within ${boundMilliseconds} ms${reason}`);
}
