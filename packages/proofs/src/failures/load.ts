/** Continuous load of chat completions on all daemons, for tests that inject faults under load. */
import { setTimeout as delay } from "node:timers/promises";
import { type ChatResult, type Endpoint, sendChat } from "./callers.js";
import { expectedText } from "./fixture.js";

/** Result of one request of the load. `correct` is false only if a complete answer has the wrong text. */
export interface LoadResult extends ChatResult {
    readonly sentAt: number;
    readonly correct: boolean;
}

/** Running load. */
export interface Load {
    readonly results: readonly LoadResult[];
    stop(): Promise<readonly LoadResult[]>;
}

const REQUEST_PAUSE_MILLISECONDS = 20;
const MAXIMUM_TOKENS = 20;

/** Starts `callers` callers for each daemon. Each caller sends its requests one after another. */
export function startLoad(daemons: readonly Endpoint[], callers: number, stream: boolean): Load {
    const results: LoadResult[] = [];
    let stopped = false;
    const call = async (daemon: Endpoint, caller: string): Promise<void> => {
        for (let turn = 0; !stopped; turn += 1) {
            const prompt = `${caller} turn ${turn}`;
            const sentAt = Date.now();
            const answer = await sendChat(daemon, { prompt, stream, maxTokens: MAXIMUM_TOKENS });
            const correct = !answer.finished || answer.text === expectedText(prompt, MAXIMUM_TOKENS);
            results.push({ ...answer, sentAt, correct });
            await delay(REQUEST_PAUSE_MILLISECONDS);
        }
    };
    const running = daemons.flatMap((daemon, index) =>
        [...Array(callers).keys()].map(caller => call(daemon, `caller ${index}.${caller}`))
    );
    return {
        results,
        stop: async () => {
            stopped = true;
            await Promise.all(running);
            return results;
        },
    };
}
