/** How long ago the store confirmed the configuration, to this daemon by its own reads, or to the collector that it hears. */
import type { Clock } from "../ports/clock.js";
import type { ConfigurationTopic } from "../ports/registry.js";

/** A topic whose answers are observed. */
export interface ConfirmedReads {
    /** The topic; reads have to go through it. */
    readonly topic: ConfigurationTopic;
    /** Returns the age of what was read last, in milliseconds; `undefined` if nothing was read. */
    ageMilliseconds(): number | undefined;
}

/** What collectors confirm of the configuration of this daemon. */
export interface CollectorConfirmation {
    /** How long a confirmation by the store is relied on. */
    readonly milliseconds: number;
    /**
     * Takes in how long ago the store confirmed the configuration of a collector that tells of all changes; absent if the
     * collector does not state it. Returns how long that is relied on further, 0 or below if it is too old.
     */
    confirm(ageMilliseconds: number | undefined): number;
    /** Whether no collector has confirmed the configuration lately. */
    isMissing(): boolean;
}

/**
 * Time after which a daemon whose configuration was not confirmed reads it, as a share of the time within which a
 * configuration must be in force. Collectors confirm it more often; the rest is left for the read.
 */
const CONFIRMATION_SHARE = 0.7;

/** Creates the confirmation; `configurationMilliseconds` is the time within which a configuration must be in force. */
export function createCollectorConfirmation(clock: Clock, configurationMilliseconds: number): CollectorConfirmation {
    const milliseconds = CONFIRMATION_SHARE * configurationMilliseconds;
    let until = Number.NEGATIVE_INFINITY;
    return {
        milliseconds,
        confirm: ageMilliseconds => {
            const remaining = milliseconds - (ageMilliseconds ?? Number.POSITIVE_INFINITY);
            until = Math.max(until, clock.monotonic() + remaining);
            return remaining;
        },
        isMissing: () => clock.monotonic() >= until,
    };
}

/** Observes the reads of a topic. */
export function observeReads(topic: ConfigurationTopic, clock: Clock): ConfirmedReads {
    let confirmedAt: number | undefined;
    return {
        topic: {
            name: topic.name,
            decode: (key, encoded) => topic.decode(key, encoded),
            readLatest: async () => {
                const sentAt = clock.monotonic();
                const page = await topic.readLatest();
                confirmedAt = sentAt;
                return page;
            },
            readFrom: async (offset, waitMilliseconds, signal) => {
                const sentAt = clock.monotonic();
                const page = await topic.readFrom(offset, waitMilliseconds, signal);
                // An answer without changes is given after the wait; its way back may have been long.
                const waited = page?.changes.length === 0 ? waitMilliseconds : 0;
                confirmedAt = Math.min(sentAt + waited, clock.monotonic());
                return page;
            },
        },
        ageMilliseconds: () => confirmedAt === undefined ? undefined : clock.monotonic() - confirmedAt,
    };
}
