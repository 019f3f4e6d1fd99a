/** Splits the bytes of a server-sent event stream into complete events, so that only these reach the caller. */
import { createGrowingBuffer } from "../growingbuffer.js";

/** A complete event with its bytes as received. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** Numeric event id, if there is one. */
    readonly id?: number;
    /** Whether it has an id or data, as opposed to a comment or bytes that are no event. */
    readonly hasContent: boolean;
    /** Whether it begins as an event or a comment does. */
    readonly isWellFormed: boolean;
}

/** Splitter of one stream. */
export interface EventSplitter {
    /** Appends bytes and returns the events that are complete now. */
    push(chunk: Buffer): StreamEvent[];
    /** Whether an incomplete event is buffered. */
    hasPartialEvent(): boolean;
    /** Whether the incomplete event is longer than any event may be. */
    isOversized(): boolean;
}

/** Maximum size of an event; a target that sends more without the end of an event sends no events. */
export const MAXIMUM_EVENT_BYTES = 262_144;

const EVENT_END = Buffer.from("\n\n");
const NEWLINE = 0x0a;
const ID_LINE = /^id: ?(\d+)\r?$/m;
/** A field without a colon has an empty value. */
const CONTENT_LINE = /^(?:id|data)(?::|\r?$)/m;
/**
 * Name of a field and a colon, the colon of a comment, an empty line, or the name of a field that the standard defines. Any
 * other line without a colon is a field that receivers ignore; a block that begins with one is taken for no event.
 */
const FIRST_LINE = /^\s*(?:[a-z-]*:|(?:data|event|id|retry)\r?\n|$)/i;

/** Creates a splitter. */
export function createEventSplitter(): EventSplitter {
    const partial = createGrowingBuffer();

    /** Returns the length of the rest of the current event in `bytes`, or -1 if it is not complete. */
    const lengthOfRest = (bytes: Buffer): number => {
        if (partial.lastByte() === NEWLINE && bytes[0] === NEWLINE) {
            return 1;
        }
        const end = bytes.indexOf(EVENT_END);
        return end < 0 ? -1 : end + EVENT_END.length;
    };

    return {
        push: chunk => {
            const events: StreamEvent[] = [];
            let rest = chunk;
            for (let length = lengthOfRest(rest); length >= 0; length = lengthOfRest(rest)) {
                events.push(toEvent(partial.takeWith(rest.subarray(0, length))));
                rest = rest.subarray(length);
            }
            partial.append(rest);
            return events;
        },
        hasPartialEvent: () => partial.length() > 0,
        isOversized: () => partial.length() > MAXIMUM_EVENT_BYTES,
    };
}

function toEvent(bytes: Buffer): StreamEvent {
    const text = bytes.toString("latin1");
    const id = ID_LINE.exec(text)?.[1];
    return {
        bytes,
        id: id === undefined ? undefined : Number(id),
        hasContent: CONTENT_LINE.test(text),
        isWellFormed: FIRST_LINE.test(text),
    };
}
