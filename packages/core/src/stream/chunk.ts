/** Splits compressed snapshots into chunks, the records of the stream `snapshots.STREAM`, and reassembles them. */
import { gunzipSync, gzipSync } from "node:zlib";
import { z } from "zod";
import { groupBy } from "../group.js";
import { type Snapshot, SNAPSHOT_VERSION, snapshotSchema } from "./snapshot.js";

/** Maximum size of one snapshot record in bytes of JSON. */
export const SNAPSHOT_CHUNK_BYTES = 64 * 1024;
/** A snapshot is due if the newest one is this many offsets behind, or half of the retained range. */
export const SNAPSHOT_INTERVAL_OFFSETS = 1_024;
/** Bytes reserved for all fields of a chunk except its data. */
const CHUNK_METADATA_BYTES = 1024;
/** Maximum size of an uncompressed snapshot. Protects against a corrupt chunk that expands without bound. */
const MAXIMUM_UNCOMPRESSED_BYTES = 512 * 1024 * 1024;

/** Maximum number of records of a snapshot. Protects against a corrupt count. */
const MAXIMUM_CHUNKS = 16_384;

const chunkSchema = z.object({
    version: z.literal(SNAPSHOT_VERSION),
    kind: z.literal("chunk"),
    /** Id of one written snapshot, so that chunks of different writers are never combined. */
    snapshot: z.string().min(1).max(200),
    stream: z.string().min(1),
    nextOffset: z.number().int().nonnegative(),
    sha256: z.string().length(64),
    index: z.number().int().nonnegative(),
    count: z.number().int().positive().max(MAXIMUM_CHUNKS),
    data: z.string(),
});

/** One record of a snapshot. `data` is part of the base64 of the gzipped text. */
export type SnapshotChunk = z.infer<typeof chunkSchema>;

/** Returns the name of the stream that holds the snapshots of a stream. */
export function snapshotStream(stream: string): string {
    return `snapshots.${stream}`;
}

/** Splits a snapshot into records. `id` must be unique per written snapshot. `compressed` is its gzipped text. */
export function chunkSnapshot(
    id: string,
    { version, stream, nextOffset, sha256, text }: Snapshot,
    compressed: Buffer = gzipSync(text, { level: 1 }),
): SnapshotChunk[] {
    const data = compressed.toString("base64");
    const length = SNAPSHOT_CHUNK_BYTES - CHUNK_METADATA_BYTES;
    const count = Math.max(1, Math.ceil(data.length / length));
    return [...Array(count).keys()].map(index => ({
        version,
        kind: "chunk" as const,
        snapshot: id,
        stream,
        nextOffset,
        sha256,
        index,
        count,
        data: data.slice(index * length, (index + 1) * length),
    }));
}

/** Returns the complete snapshots of a stream with a next offset above `above`, newest first. Ignores other values. */
export function completeSnapshots(stream: string, values: readonly unknown[], above: number): Snapshot[] {
    const chunks = values
        .map(value => chunkSchema.safeParse(value))
        .flatMap(parsed => parsed.success ? [parsed.data] : [])
        .filter(chunk => chunk.stream === stream && chunk.nextOffset > above);
    return [...groupBy(chunks, ({ snapshot }) => snapshot).values()]
        .flatMap(assemble)
        .sort((left, right) => right.nextOffset - left.nextOffset);
}

function assemble(chunks: readonly SnapshotChunk[]): Snapshot[] {
    const first = chunks[0];
    const byIndex = new Map(chunks.map(chunk => [chunk.index, chunk.data]));
    if (first === undefined || byIndex.size < first.count) {
        return [];
    }
    const data = [...Array(first.count).keys()].map(index => byIndex.get(index) ?? "").join("");
    try {
        const text = gunzipSync(Buffer.from(data, "base64"), { maxOutputLength: MAXIMUM_UNCOMPRESSED_BYTES })
            .toString();
        const parsed = snapshotSchema.safeParse({ ...first, text });
        return parsed.success ? [parsed.data] : [];
    }
    catch {
        return [];
    }
}
