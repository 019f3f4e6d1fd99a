/** Requests to other daemons that are answered by one message. */
import { randomUUID } from "node:crypto";
import type { PeerMessage, PeerMessageOf } from "../messages.js";
import type { PeerNetwork } from "../ports/peers.js";

/** Kinds of messages that ask, with the kind that answers. */
const answerKinds = {
    fetchExplanation: "explanation",
    fetchStatus: "status",
} as const satisfies Partial<Record<PeerMessage["kind"], PeerMessage["kind"]>>;

type QuestionKind = keyof typeof answerKinds;
type QuestionOf<Kind extends QuestionKind> = Omit<PeerMessageOf<Kind>, "request">;
type AnswerOf<Kind extends QuestionKind> = PeerMessageOf<(typeof answerKinds)[Kind]>;

/** Asks other daemons. */
export interface PeerRequests {
    /** Resolves with the answer, or with `undefined` if there is no link or no answer in time. */
    send<Kind extends QuestionKind>(daemon: string, question: QuestionOf<Kind>): Promise<AnswerOf<Kind> | undefined>;
}

/** A peer that does not answer within this time counts as not reachable. */
export const ANSWER_TIMEOUT_MILLISECONDS = 1_000;

/** Makes the asking side. */
export function createPeerRequests(network: PeerNetwork): PeerRequests {
    const waiting = new Map<string, (answer: PeerMessage) => void>();
    Object.values(answerKinds).forEach(kind =>
        network.receive(kind, (...[, answer]) => waiting.get(answer.request)?.(answer))
    );
    return {
        send: async <Kind extends QuestionKind>(daemon: string, question: QuestionOf<Kind>) => {
            const request = randomUUID();
            const answer = new Promise<PeerMessage | undefined>(resolve => {
                const timer = setTimeout(() => resolve(undefined), ANSWER_TIMEOUT_MILLISECONDS);
                waiting.set(request, message => {
                    clearTimeout(timer);
                    resolve(message);
                });
                if (!network.send(daemon, { ...question, request } as unknown as PeerMessage)) {
                    clearTimeout(timer);
                    resolve(undefined);
                }
            });
            return await answer.finally(() => waiting.delete(request)) as AnswerOf<Kind> | undefined;
        },
    };
}
