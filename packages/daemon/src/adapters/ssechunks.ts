/** Parser of a streamed answer: server-sent events of one attempt, in order and without gaps. */
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { EngineEvent } from "../ports/engine.js";
import { parseObject } from "./targetanswer.js";

/** Options of a parser for one attempt. */
export interface ChunkParserOptions {
    readonly attemptId: string;
    /** Index of the first data event. */
    readonly fromIndex: number;
    /** `id` that earlier chunks of the same answer carried. */
    readonly completionId?: string;
    readonly onForeignData: () => void;
}

/** Parser of one streamed answer. */
export interface ChunkParser {
    feed(data: Buffer): EngineEvent[];
    /** Whether a data event has arrived. */
    started(): boolean;
    /** Whether the end marker has arrived. */
    complete(): boolean;
}

/** Longest server-sent event; a longer one ends the attempt. */
const MAXIMUM_EVENT_CHARACTERS = 4 * 1024 * 1024;

/**
 * Makes a parser. An event whose SSE id is `ATTEMPT/INDEX`, or whose chunk `id` differs from that of the answer's first
 * chunk, belongs to another attempt and is dropped. A repeated index is dropped; a gap breaks the stream.
 */
export function createChunkParser(options: ChunkParserOptions): ChunkParser {
    const decoder = new TextDecoder();
    let events: EngineEvent[] = [];
    let index = options.fromIndex;
    let completionId = options.completionId;
    let started = false;
    let complete = false;

    const broken = (message: string): void => {
        events.push({ kind: "failure", failure: { kind: "broken", message } });
    };

    const takeChunk = (raw: string): void => {
        const data = parseObject(raw);
        if (data === undefined) {
            return broken("a stream event is not a JSON object");
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
        const named = parseEventId(event.id);
        if (named.attemptId !== undefined && named.attemptId !== options.attemptId) {
            return options.onForeignData();
        }
        if (event.data === "[DONE]") {
            complete = true;
            events.push({ kind: "done" });
            return;
        }
        if (named.index !== undefined && named.index > index) {
            return broken(`stream event ${index} is missing`);
        }
        if (named.index === undefined || named.index === index) {
            takeChunk(event.data);
        }
    };

    const parser = createParser({
        onEvent,
        onComment: () => events.push({ kind: "progress" }),
        onError: error => {
            if (error.type === "max-buffer-size-exceeded") {
                broken("a stream event is too long");
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
