/** Measures the pauses between the events of one stream against the time that a pass of the engine should take. */

/** Meter of one attempt. Times are monotonic milliseconds. */
export interface PauseMeter {
    /** Records that events arrived; returns the observed over the expected time once several pauses are known. */
    record(events: number, now: number): number | undefined;
    /** Drops what was measured since the last result, because the stream was not read for a while. */
    interrupt(): void;
}

/** Pauses in one result: a pass also takes longer when it reads prompts. */
const PAUSES_PER_RESULT = 4;

/** Creates a meter of a stream that should send an event in each pass. */
export function createPauseMeter(passMilliseconds: number): PauseMeter {
    let since: number | undefined;
    let pauses = 0;
    return {
        record: (events, now) => {
            if (since === undefined) {
                since = now;
                return undefined;
            }
            pauses += events;
            const elapsed = now - since;
            if (pauses < PAUSES_PER_RESULT && elapsed < PAUSES_PER_RESULT * passMilliseconds) {
                return undefined;
            }
            const ratio = elapsed / (pauses * passMilliseconds);
            since = now;
            pauses = 0;
            return ratio;
        },
        interrupt: () => {
            since = undefined;
            pauses = 0;
        },
    };
}
