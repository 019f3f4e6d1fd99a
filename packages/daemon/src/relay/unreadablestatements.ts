/** Logs each statement of a target that cannot be read once, and counts all of them. */
import type { EventName } from "../events.js";
import type { EventLog } from "../ports/eventlog.js";

/** Statements that could not be read. */
export interface UnreadableStatements {
    /** Records a statement; logs it as the event unless it is the last one that the target was logged with. */
    record(event: EventName, target: string, text: string): void;
    /** Number of responses with such a statement. */
    count(): number;
    /** Drops what is known of targets that are gone. */
    prune(isKnown: (target: string) => boolean): void;
}

/** Creates an empty record. */
export function createUnreadableStatements(log: EventLog): UnreadableStatements {
    const lastTexts = new Map<EventName, Map<string, string>>();
    let count = 0;
    return {
        record: (event, target, text) => {
            count += 1;
            const texts = lastTexts.get(event) ?? new Map<string, string>();
            lastTexts.set(event, texts);
            if (texts.get(target) !== text) {
                texts.set(target, text);
                log.emit(event, { target, text });
            }
        },
        count: () => count,
        prune: isKnown =>
            lastTexts.forEach(texts =>
                [...texts.keys()].filter(target => !isKnown(target)).forEach(target => texts.delete(target))
            ),
    };
}
