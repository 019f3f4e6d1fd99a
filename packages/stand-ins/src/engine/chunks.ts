/** Builds the chat completion responses of the engine stand-in in the OpenAI format. */
import { answerTokens, type ChatRequest, serializePrompt } from "./answer.js";

// The protocol requires a null `finish_reason` in all chunks but the last.
// eslint-disable-next-line no-restricted-syntax
const NOT_FINISHED = null;
/** Approximate length of one token, used for the prompt tokens in `usage`. */
const CHARACTERS_PER_TOKEN = 4;

/** Complete answer of one attempt, computed before its tokens are sent one by one. */
export interface Answer {
    readonly tokens: readonly string[];
    /** Returns the number of stream events that can be sent once `produced` tokens are generated. */
    eventCount(produced: number): number;
    event(index: number): unknown;
    completion(): unknown;
}

/**
 * Creates the answer to a request. The stream consists of the role, one event for each token, the finish reason and, if
 * requested, the usage.
 */
export function createAnswer(id: string, chat: ChatRequest): Answer {
    const tokens = answerTokens(chat);
    const created = Math.floor(Date.now() / 1000);
    const promptTokens = Math.ceil(serializePrompt(chat).length / CHARACTERS_PER_TOKEN);
    const usage = {
        prompt_tokens: promptTokens,
        completion_tokens: tokens.length,
        total_tokens: promptTokens + tokens.length,
    };
    const includeUsage = chat.stream_options?.include_usage === true;
    const eventTotal = tokens.length + (includeUsage ? 3 : 2);
    const chunk = (delta: unknown, finishReason: string | typeof NOT_FINISHED): unknown => ({
        id: `chatcmpl-${id}`,
        object: "chat.completion.chunk",
        created,
        model: chat.model,
        choices: [{ index: 0, delta, finish_reason: finishReason }],
    });
    return {
        tokens,
        eventCount: produced => produced === 0 ? 0 : produced < tokens.length ? produced + 1 : eventTotal,
        event: index => {
            if (index === 0) {
                return chunk({ role: "assistant", content: "" }, NOT_FINISHED);
            }
            if (index <= tokens.length) {
                return chunk({ content: tokens[index - 1] }, NOT_FINISHED);
            }
            if (index === tokens.length + 1) {
                return chunk({}, "stop");
            }
            return { ...chunk({}, "stop") as object, choices: [], usage };
        },
        completion: () => ({
            id: `chatcmpl-${id}`,
            object: "chat.completion",
            created,
            model: chat.model,
            choices: [{
                index: 0,
                message: { role: "assistant", content: tokens.join("") },
                finish_reason: "stop",
            }],
            usage,
        }),
    };
}
