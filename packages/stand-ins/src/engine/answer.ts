/** Answer text of the engine stand-in: a pure function of the model and the messages, so a test can recompute it. */
import { createHash } from "node:crypto";
import { z } from "zod";

/** Schema of the part of a chat completion request that the engine reads. */
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

/** Bytes of prompt that one block of the prefix cache covers. */
export const BLOCK_BYTES = 256;

const WORDS = "the seal of this office certifies that record and page were compared with their original by hand under "
    .concat(
        "convention article wool heel size yarn parcel care letter warm wash cold dry flat month member fee receipt",
    )
    .split(" ");
const DEFAULT_MINIMUM_TOKENS = 16;

/** Returns the prompt as one string. */
export function serializePrompt(chat: Pick<ChatRequest, "messages">): string {
    return JSON.stringify(chat.messages);
}

/** Returns the tokens of the answer. Joined without a separator they are the answer text. */
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

/** Returns the chained SHA-256 hashes, 16 hex digits each, of the whole blocks of the prompt. */
export function blockHashes(chat: Pick<ChatRequest, "messages">): string[] {
    const prompt = Buffer.from(serializePrompt(chat));
    const hashes: string[] = [];
    for (let end = BLOCK_BYTES; end <= prompt.length; end += BLOCK_BYTES) {
        const block = prompt.subarray(end - BLOCK_BYTES, end);
        hashes.push(createHash("sha256").update(hashes.at(-1) ?? "").update(block).digest("hex").slice(0, 16));
    }
    return hashes;
}
