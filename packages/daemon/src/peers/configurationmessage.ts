/** What operators published and a collector read, as a message for the daemons that report to it. */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";
import type { ConfigurationTopic, OperatorRecord, TopicChange, TopicRange } from "../ports/registry.js";

/** Schema of a range of configuration changes, whose values are the store's, compressed. */
export const configurationRangeSchema = z.object({
    fromOffset: z.number(),
    nextOffset: z.number(),
    era: z.number(),
    changes: z.array(z.object({ key: z.string(), encoded: z.instanceof(Uint8Array).optional() })),
});

/** A range as it is sent. */
export type ConfigurationRangeMessage = z.infer<typeof configurationRangeSchema>;

/** A larger range is read by each daemon itself, so that it does not hold up a small link that sends it to all. */
const MAXIMUM_COMPRESSED_BYTES = 24_000;
/** Larger than any configuration that the store takes as one record. */
const MAXIMUM_BYTES = 4_194_304;

/** Encodes a range; returns `undefined` if it is empty, too large, or lacks the encoded value of a configuration. */
export function encodeConfigurationRange(range: TopicRange<OperatorRecord>): ConfigurationRangeMessage | undefined {
    const { fromOffset, nextOffset, era, changes } = range;
    const isUnencoded = ({ value, encoded }: TopicChange<OperatorRecord>): boolean =>
        value?.kind === "configuration" && encoded === undefined;
    if (changes.length === 0 || changes.some(isUnencoded)) {
        return undefined;
    }
    const compressed = changes.map(({ key, encoded }) => ({ key, encoded: encoded && deflateRawSync(encoded) }));
    const bytes = compressed.reduce((sum, { encoded }) => sum + (encoded?.length ?? 0), 0);
    return bytes > MAXIMUM_COMPRESSED_BYTES ? undefined : { fromOffset, nextOffset, era, changes: compressed };
}

/** Decodes a range; throws if a value cannot be decompressed. */
export function decodeConfigurationRange(
    { fromOffset, nextOffset, era, changes }: ConfigurationRangeMessage,
    topic: Pick<ConfigurationTopic, "decode">,
): TopicRange<OperatorRecord> {
    const decoded = changes.flatMap(({ key, encoded }) =>
        topic.decode(key, encoded && inflateRawSync(encoded, { maxOutputLength: MAXIMUM_BYTES }))
    );
    return { fromOffset, nextOffset, era, changes: decoded };
}
