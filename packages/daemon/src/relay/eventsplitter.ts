/** Splits the bytes of a server-sent event stream into complete events, so that only these reach the caller. */

/** A complete event with its bytes as received. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** Numeric event id, if there is one. */
    readonly id?: number;
}

/** Splitter of one stream. */
export interface EventSplitter {
    /** Appends bytes and returns the events that are complete now. */
    push(chunk: Buffer): StreamEvent[];
    /** Whether an incomplete event is buffered. */
    hasPartialEvent(): boolean;
}

const EVENT_END = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)\r?$/m;

/** Creates a splitter. */
export function createEventSplitter(): EventSplitter {
    let buffered: Buffer = Buffer.alloc(0);
    return {
        push: chunk => {
            buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
            const events: StreamEvent[] = [];
            for (let end = buffered.indexOf(EVENT_END); end >= 0; end = buffered.indexOf(EVENT_END)) {
                const bytes = buffered.subarray(0, end + EVENT_END.length);
                buffered = buffered.subarray(end + EVENT_END.length);
                const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
                events.push({ bytes, id: id === undefined ? undefined : Number(id) });
            }
            return events;
        },
        hasPartialEvent: () => buffered.length > 0,
    };
}
