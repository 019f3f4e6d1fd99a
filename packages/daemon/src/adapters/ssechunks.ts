/** Parser of a streamed answer: the server-sent events of one attempt, in order and without gaps. */
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { EngineEvent } from "../ports/engine.js";
import { parseObject } from "./targetanswer.js";

/** Options of a parser for one attempt. */
export interface ChunkParserOptions {
    readonly attemptId: string;
    /** Index of the first data event. */
    readonly fromIndex: number;
    /** `id` of the earlier chunks of the same answer. */
    readonly completionId?: string;
    /** Called for each event that was dropped because it belongs to another attempt. */
    readonly onForeignData: () => void;
}

/** Parser of one streamed answer. */
export interface ChunkParser {
    /** Parses the next bytes and returns the events up to the first end or failure. */
    feed(data: Buffer): EngineEvent[];
    /** Whether a data event has arrived. */
    started(): boolean;
    /** Whether the `[DONE]` marker has arrived. */
    complete(): boolean;
}

/** Longest accepted server-sent event; a longer one fails the attempt. */
const MAXIMUM_EVENT_CHARACTERS = 4 * 1024 * 1024;

/**
 * Creates a parser. SSE ids have the form `ATTEMPT/INDEX`. An event that names another attempt, or whose chunk `id`
 * differs from that of the first chunk of the answer, is dropped. A repeated index is dropped; a gap fails the stream.
 */
export function createChunkParser(options: ChunkParserOptions): ChunkParser {
    const decoder = new TextDecoder();
    let events: EngineEvent[] = [];
    let index = options.fromIndex;
    let completionId = options.completionId;
    let started = false;
    let complete = false;

    const addFailure = (message: string): void => {
        events.push({ kind: "failure", failure: { kind: "broken", message } });
    };

    const addChunk = (raw: string): void => {
        const data = parseObject(raw);
        if (data === undefined) {
            return addFailure("a stream event is not a JSON object");
        }
        if (data["error"] !== undefined) {
            events.push({ kind: "failure", failure: { kind: "failed", message: "the engine sent an error event" } });
            return;
        }
        const id = typeof data["id"] === "string" ? data["id"] : undefined;
        completionId ??= id;
        if (id !== undefined && id !== completionId) {
            return options.onForeignData();
        }
        events.push({ kind: "chunk", index, data, raw });
        index += 1;
    };

    const onEvent = (event: EventSourceMessage): void => {
        started = true;
        const parsedId = parseEventId(event.id);
        if (parsedId.attemptId !== undefined && parsedId.attemptId !== options.attemptId) {
            return options.onForeignData();
        }
        if (event.data === "[DONE]") {
            complete = true;
            events.push({ kind: "done" });
            return;
        }
        if (parsedId.index !== undefined && parsedId.index > index) {
            return addFailure(`stream event ${index} is missing`);
        }
        if (parsedId.index === undefined || parsedId.index === index) {
            addChunk(event.data);
        }
    };

    const parser = createParser({
        onEvent,
        onComment: () => events.push({ kind: "progress" }),
        onError: error => {
            if (error.type === "max-buffer-size-exceeded") {
                addFailure("a stream event is too long");
            }
        },
        maxBufferSize: MAXIMUM_EVENT_CHARACTERS,
    });

    return {
        feed: data => {
            events = [];
            parser.feed(decoder.decode(data, { stream: true }));
            const end = events.findIndex(({ kind }) => kind === "done" || kind === "failure");
            return end === -1 ? events : events.slice(0, end + 1);
        },
        started: () => started,
        complete: () => complete,
    };
}

function parseEventId(id: string | undefined): { attemptId?: string; index?: number; } {
    const match = /^(?:(.+)\/)?(\d+)$/.exec(id ?? "");
    return !match ? {} : { attemptId: match[1], index: Number(match[2]) };
}
