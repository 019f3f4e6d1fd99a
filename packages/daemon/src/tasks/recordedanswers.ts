/** Answers of completed keys: kept in bounded memory, or fetched from the daemon that owns the key. */
import { type Outcome, outcomeSchema } from "@damaskvale/core";
import { randomUUID } from "node:crypto";
import type { RecordedResponse } from "../ports/claims.js";
import type { PeerNetwork } from "../ports/peers.js";

/** Store of the answers of this daemon, which also fetches answers from other daemons. */
export interface AnswerStore {
    /** Stores the answer of a key, or removes the stored one if `answer` is undefined. */
    keep(team: string, keyHash: string, outcome: Outcome, answer: RecordedResponse | undefined): void;
    find(team: string, keyHash: string): RecordedResponse | undefined;
    /** Asks the owner of a key. Resolves with `undefined` if it does not answer in time or has dropped the answer. */
    fetch(owner: string, team: string, keyHash: string): Promise<RecordedResponse | undefined>;
}

interface StoredAnswer {
    readonly answer: RecordedResponse;
    readonly outcome: Outcome;
    readonly bytes: number;
}

const FETCH_TIMEOUT_MILLISECONDS = 500;
/** Estimated memory of a stored answer in addition to its body. */
const ANSWER_OVERHEAD_BYTES = 512;

/** Creates the store. When the answers exceed `maximumBytes`, the oldest are evicted. */
export function createAnswerStore(network: PeerNetwork, maximumBytes: number): AnswerStore {
    const answers = new Map<string, StoredAnswer>();
    const waiting = new Map<string, (answer: RecordedResponse | undefined) => void>();
    let totalBytes = 0;

    const drop = (key: string): void => {
        totalBytes -= answers.get(key)?.bytes ?? 0;
        answers.delete(key);
    };
    const settle = (request: string, answer: RecordedResponse | undefined): void => {
        const resolve = waiting.get(request);
        waiting.delete(request);
        resolve?.(answer);
    };

    network.onMessage("fetchAnswer", (from, { request, team, keyHash }) => {
        const kept = answers.get(keyOf(team, keyHash));
        network.send(
            from,
            kept === undefined
                ? { kind: "answer", request, found: false }
                : {
                    kind: "answer",
                    request,
                    found: true,
                    outcome: kept.outcome,
                    ...kept.answer,
                    body: new Uint8Array(kept.answer.body),
                },
        );
    });
    network.onMessage("answer", (...[, { request, found, status, headers, body, outcome }]) => {
        const isComplete = found && status !== undefined && body !== undefined
            && outcomeSchema.safeParse(outcome).success;
        settle(request, isComplete ? { status, headers: headers ?? {}, body: Buffer.from(body) } : undefined);
    });

    return {
        keep: (team, keyHash, outcome, answer) => {
            const key = keyOf(team, keyHash);
            drop(key);
            const bytes = (answer?.body.length ?? 0) + ANSWER_OVERHEAD_BYTES;
            if (answer !== undefined && bytes <= maximumBytes) {
                answers.set(key, { answer, outcome, bytes });
                totalBytes += bytes;
            }
            while (totalBytes > maximumBytes) {
                drop(answers.keys().next().value ?? "");
            }
        },
        find: (team, keyHash) => answers.get(keyOf(team, keyHash))?.answer,
        fetch: (owner, team, keyHash) =>
            new Promise(resolve => {
                // Ids are unique across processes, so an answer to an earlier process of this name settles no request.
                const request = randomUUID();
                const timer = setTimeout(() => settle(request, undefined), FETCH_TIMEOUT_MILLISECONDS);
                waiting.set(request, answer => {
                    clearTimeout(timer);
                    resolve(answer);
                });
                if (!network.send(owner, { kind: "fetchAnswer", request, team, keyHash })) {
                    settle(request, undefined);
                }
            }),
    };
}

function keyOf(team: string, keyHash: string): string {
    return `${team} ${keyHash}`;
}
