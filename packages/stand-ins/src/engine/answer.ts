/**
 * Generates the answers of the engine stand-in. An answer is a pure function of the model and the messages, so a test
 * can compute the expected text.
 */
import { createHash } from "node:crypto";
import { z } from "zod";

/** Schema of the fields of a chat completion request that the engine stand-in reads. */
export const chatSchema = z.looseObject({
    model: z.string(),
    messages: z.array(z.unknown()).min(1),
    stream: z.boolean().nullish(),
    max_tokens: z.number().int().positive().nullish(),
    max_completion_tokens: z.number().int().positive().nullish(),
    stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
});

/** Chat completion request. */
export type ChatRequest = z.infer<typeof chatSchema>;

/** Size of one prefix cache block, in bytes of the serialized prompt. */
export const BLOCK_BYTES = 256;

const WORDS = "the seal of this office certifies that record and page were compared with their original by hand under "
    .concat(
        "convention article wool heel size yarn parcel care letter warm wash cold dry flat month member fee receipt",
    )
    .split(" ");
const DEFAULT_MINIMUM_TOKENS = 16;

/** Serializes the messages of a request into the prompt string. */
export function serializePrompt(chat: Pick<ChatRequest, "messages">): string {
    return JSON.stringify(chat.messages);
}

/** Generates the tokens of the answer. Concatenated, they form the answer text. */
export function answerTokens(
    chat: Pick<ChatRequest, "model" | "messages" | "max_tokens" | "max_completion_tokens">,
): string[] {
    const seed = createHash("sha256").update(`${chat.model}\n${serializePrompt(chat)}`).digest("hex");
    const count = chat.max_tokens ?? chat.max_completion_tokens
        ?? DEFAULT_MINIMUM_TOKENS + Number.parseInt(seed.slice(0, 1), 16);
    return [...Array(count).keys()].map(index => {
        const digest = createHash("sha256").update(`${seed}${index}`).digest();
        return `${index === 0 ? "" : " "}${WORDS[digest.readUInt16BE(0) % WORDS.length]}`;
    });
}

/**
 * Computes a chained SHA-256 hash, truncated to 16 hex digits, for each complete block of the prompt. The hash of a
 * block covers all blocks before it.
 */
export function blockHashes(chat: Pick<ChatRequest, "messages">): string[] {
    const prompt = Buffer.from(serializePrompt(chat));
    const hashes: string[] = [];
    for (let end = BLOCK_BYTES; end <= prompt.length; end += BLOCK_BYTES) {
        const block = prompt.subarray(end - BLOCK_BYTES, end);
        hashes.push(createHash("sha256").update(hashes.at(-1) ?? "").update(block).digest("hex").slice(0, 16));
    }
    return hashes;
}
