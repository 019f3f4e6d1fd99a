/** Entries of a log stream and the envelope of its records. */
import { z } from "zod";

/** Version of the record envelope that this code writes and reads. */
export const RECORD_VERSION = 1;

/** Schema of the daemon process that wrote a record. `incarnation` is unique for each start of the process. */
export const authorSchema = z.object({ daemon: z.string().min(1), incarnation: z.string().min(1) });

/** Schema of the record envelope. The body is checked by the fold of the stream. */
export const recordSchema = z.object({
    version: z.number().int(),
    id: z.string().min(1).max(200),
    author: authorSchema,
    basis: z.number().int().nonnegative(),
    body: z.unknown(),
});

/** Schema of one entry of a log stream: offset, the platform's append time in milliseconds, and the value. */
export const entrySchema = z.object({
    offset: z.number().int().nonnegative(),
    time: z.number(),
    value: z.unknown(),
});

/** Daemon process that wrote a record. */
export type Author = z.infer<typeof authorSchema>;

/** Record envelope. `basis` is the next offset of the author's state when it wrote the record. */
export type LogRecord = z.infer<typeof recordSchema>;

/** Entry of a log stream. */
export type Entry = z.infer<typeof entrySchema>;
