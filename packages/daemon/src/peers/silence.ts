/** Finds out which collectors do not answer the reports that they are sent. Times are monotonic milliseconds. */

/** Collectors that are expected to answer. */
export interface SilenceDetector {
    /** Records that answers of a daemon are expected from now on, unless they were already. */
    expect(daemon: string, now: number): void;
    /** Records a message of a daemon. */
    recordHeard(daemon: string, now: number): void;
    /** Returns whether a daemon did not answer. After a while it is tried again. */
    isSilent(daemon: string, now: number): boolean;
}

/** Longer than the interval of messages without changes, so that a single lost one does not count. */
const SILENCE_MILLISECONDS = 1_300;
const RETRY_MILLISECONDS = 5_000;

/** Creates a detector that expects nothing. */
export function createSilenceDetector(): SilenceDetector {
    const expectedSince = new Map<string, number>();
    const heardAt = new Map<string, number>();
    return {
        expect: (daemon, now) => {
            if (!expectedSince.has(daemon)) {
                expectedSince.set(daemon, now);
            }
        },
        recordHeard: (daemon, now) => void heardAt.set(daemon, now),
        isSilent: (daemon, now) => {
            const since = expectedSince.get(daemon);
            if (since === undefined) {
                return false;
            }
            const silence = now - Math.max(since, heardAt.get(daemon) ?? since);
            if (silence > SILENCE_MILLISECONDS + RETRY_MILLISECONDS) {
                expectedSince.delete(daemon);
            }
            return silence > SILENCE_MILLISECONDS && expectedSince.has(daemon);
        },
    };
}
