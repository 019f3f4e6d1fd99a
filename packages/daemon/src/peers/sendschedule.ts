/** When messages are due: at once on a change, otherwise from time to time, for daemons that missed them. */
import type { ExchangeMessage } from "./exchangemessage.js";

/** Schedule of the messages of each kind. Times are monotonic milliseconds. */
export interface SendSchedule {
    /** Returns whether a message is to be sent now, by its content and the time since the last one; it then counts as sent. */
    isDue(kind: ExchangeMessage["kind"], content: string, hasNews: boolean, now: number): boolean;
    /**
     * Returns whether a message should contain what is known about quarantined parts; it then counts as sent. `daemons` is
     * the number of those whose messages meet at one of them, so that these take a bounded part of its processor.
     */
    repeatsQuarantine(kind: ExchangeMessage["kind"], hasNews: boolean, daemons: number, now: number): boolean;
}

/** Interval of messages without changes, which show the other daemons that this one is alive. */
export const IDLE_INTERVAL_MILLISECONDS = 900;

/** Daemons of a fleet, or a data centre, in which each one can tell all others at once what is new, and read for itself. */
export const MOST_DAEMONS_AT_ONCE = 12;
/** Interval of messages with quarantined parts for each daemon of a larger one. Such a message takes some milliseconds to read. */
const QUARANTINE_MILLISECONDS_PER_DAEMON = 15;

/** Creates a schedule by which nothing has been sent. */
export function createSendSchedule(): SendSchedule {
    const lastSent = new Map<ExchangeMessage["kind"], { readonly content: string; readonly at: number; }>();
    const quarantineSentAt = new Map<ExchangeMessage["kind"], number>();
    return {
        isDue: (kind, content, hasNews, now) => {
            const last = lastSent.get(kind);
            const isDue = hasNews || last?.content !== content || now - last.at >= IDLE_INTERVAL_MILLISECONDS;
            if (isDue) {
                lastSent.set(kind, { content, at: now });
            }
            return isDue;
        },
        repeatsQuarantine: (kind, hasNews, daemons, now) => {
            const sentAt = quarantineSentAt.get(kind) ?? Number.NEGATIVE_INFINITY;
            const newsInterval = daemons <= MOST_DAEMONS_AT_ONCE ? 0 : daemons * QUARANTINE_MILLISECONDS_PER_DAEMON;
            const interval = hasNews ? Math.min(newsInterval, IDLE_INTERVAL_MILLISECONDS) : IDLE_INTERVAL_MILLISECONDS;
            const repeats = now - sentAt >= interval;
            if (repeats) {
                quarantineSentAt.set(kind, now);
            }
            return repeats;
        },
    };
}
