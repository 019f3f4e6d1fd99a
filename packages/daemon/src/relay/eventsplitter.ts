/** Splits the bytes of an event stream into whole events, so that only whole events reach the caller. */

/** A whole event with its bytes as they arrived. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** Number of the event, if it carries one. */
    readonly id?: number;
}

/** Splitter of one stream. */
export interface EventSplitter {
    /** Takes bytes and returns the events that they complete. */
    push(chunk: Buffer): StreamEvent[];
    /** Whether bytes of an event without its end are held. */
    hasPartialEvent(): boolean;
}

const EVENT_END = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)\r?$/m;

/** Makes a splitter. */
export function createEventSplitter(): EventSplitter {
    let held: Buffer = Buffer.alloc(0);
    return {
        push: chunk => {
            held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
            const events: StreamEvent[] = [];
            for (let end = held.indexOf(EVENT_END); end >= 0; end = held.indexOf(EVENT_END)) {
                const bytes = held.subarray(0, end + EVENT_END.length);
                held = held.subarray(end + EVENT_END.length);
                const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
                events.push({ bytes, id: id === undefined ? undefined : Number(id) });
            }
            return events;
        },
        hasPartialEvent: () => held.length > 0,
    };
}
