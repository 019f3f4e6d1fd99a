/** When messages are due: at once on a change, otherwise from time to time, for daemons that missed them. */
import type { ExchangeMessage } from "./exchangemessage.js";

/** Schedule of the messages of each kind. Times are monotonic milliseconds. */
export interface SendSchedule {
    /** Returns whether a message is to be sent now, by its content and the time since the last one; it then counts as sent. */
    isDue(kind: ExchangeMessage["kind"], content: string, hasNews: boolean, now: number): boolean;
    /** Returns whether a message should contain the older facts about prompt parts; they then count as sent. */
    repeatsQuarantine(kind: ExchangeMessage["kind"], hasNews: boolean, now: number): boolean;
}

/** Interval of messages without changes, which show the other daemons that this one is alive. */
export const IDLE_INTERVAL_MILLISECONDS = 900;

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
        repeatsQuarantine: (kind, hasNews, now) => {
            const sentAt = quarantineSentAt.get(kind) ?? Number.NEGATIVE_INFINITY;
            const repeats = hasNews || now - sentAt >= IDLE_INTERVAL_MILLISECONDS;
            if (repeats) {
                quarantineSentAt.set(kind, now);
            }
            return repeats;
        },
    };
}
