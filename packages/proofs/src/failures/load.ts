/** Steady load of chat completions on all daemons, for tests that change something under it. */
import { setTimeout as delay } from "node:timers/promises";
import { type ChatTold, type Entry, sendChat } from "./callers.js";
import { expectedText } from "./fixture.js";

/** What one caller of the load was told, and whether a complete answer was the right one. */
export interface LoadTold extends ChatTold {
    readonly at: number;
    readonly correct: boolean;
}

/** Running load. */
export interface Load {
    readonly told: readonly LoadTold[];
    stop(): Promise<readonly LoadTold[]>;
}

const PAUSE_MILLISECONDS = 20;
const MAXIMUM_TOKENS = 20;

/** Starts `callers` callers for each daemon; each sends one request after another. */
export function startLoad(daemons: readonly Entry[], callers: number, stream: boolean): Load {
    const told: LoadTold[] = [];
    let stopped = false;
    const call = async (daemon: Entry, caller: string): Promise<void> => {
        for (let turn = 0; !stopped; turn += 1) {
            const prompt = `${caller} turn ${turn}`;
            const at = Date.now();
            const answer = await sendChat(daemon, { prompt, stream, maxTokens: MAXIMUM_TOKENS });
            const correct = !answer.finished || answer.text === expectedText(prompt, MAXIMUM_TOKENS);
            told.push({ ...answer, at, correct });
            await delay(PAUSE_MILLISECONDS);
        }
    };
    const running = daemons.flatMap((daemon, index) =>
        [...Array(callers).keys()].map(caller => call(daemon, `caller ${index}.${caller}`))
    );
    return {
        told,
        stop: async () => {
            stopped = true;
            await Promise.all(running);
            return told;
        },
    };
}
