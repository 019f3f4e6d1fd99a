/** Finds the end of the last whole event in bytes of a server-sent event stream. */
import type { PlainAttempt } from "./plainattempt.js";
import type { RequestContext } from "./requestcontext.js";

/** An event ends with an empty line; the standard allows LF, CR and LF, and CR as ends of lines. */
const EVENT_ENDS: readonly Buffer[] = ["\n\n", "\n\r\n", "\r\r"].map(text => Buffer.from(text));
/** Length of the longest of these. */
const LONGEST_END_BYTES = 3;

const EVENT_STREAM_TYPE = "text/event-stream";

/** Returns the bytes up to the end of the last whole event. */
export function wholeEventsOf(bytes: Buffer): Buffer {
    const ends = EVENT_ENDS.map(end => {
        const position = bytes.lastIndexOf(end);
        return position < 0 ? 0 : position + end.length;
    });
    return bytes.subarray(0, Math.max(...ends));
}

/** Returns the last bytes of a stream, which show whether it ends with an event, after more of it has arrived. */
export function lastBytesOf(earlier: Buffer, bytes: Buffer): Buffer {
    const last = bytes.length < LONGEST_END_BYTES ? Buffer.concat([earlier, bytes]) : bytes;
    // A view would keep the memory of the whole chunk.
    return Buffer.from(last.subarray(-LONGEST_END_BYTES));
}

/**
 * Returns whether an answer that should be a stream of events, and that ended with its connection, lacks the end of an event, or
 * has none. Its target may have stopped there.
 */
export function endsInsideEvent(
    { head, decoded, lastBytes }: Pick<PlainAttempt, "head" | "decoded" | "lastBytes">,
    { admitted, request }: Pick<RequestContext, "admitted" | "request">,
): boolean {
    if (
        head === undefined || decoded?.notRun !== false || admitted.route.kind !== "stream"
        || head.delimited || head.status < 200 || head.status >= 300 || request.method === "HEAD"
        || head.headers["content-type"]?.toLowerCase().startsWith(EVENT_STREAM_TYPE) === false
    ) {
        return false;
    }
    return lastBytes.length === 0 || wholeEventsOf(lastBytes).length < lastBytes.length;
}
