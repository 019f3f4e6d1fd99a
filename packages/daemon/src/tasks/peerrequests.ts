/** Requests to other daemons, each answered by one response message. */
import { randomUUID } from "node:crypto";
import type { PeerMessage, PeerMessageOf } from "../messages.js";
import type { PeerNetwork } from "../ports/peers.js";

/** Kinds of requests, with the kind of their response. */
const responseKinds = {
    fetchExplanation: "explanation",
    fetchStatus: "status",
} as const satisfies Partial<Record<PeerMessage["kind"], PeerMessage["kind"]>>;

type RequestKind = keyof typeof responseKinds;
type RequestOf<Kind extends RequestKind> = Omit<PeerMessageOf<Kind>, "request">;
type ResponseOf<Kind extends RequestKind> = PeerMessageOf<(typeof responseKinds)[Kind]>;

/** Sends requests to other daemons. */
export interface PeerRequests {
    /** Resolves with the response, or with `undefined` if there is no link or no response before the timeout. */
    send<Kind extends RequestKind>(daemon: string, body: RequestOf<Kind>): Promise<ResponseOf<Kind> | undefined>;
}

/** A peer that does not respond within this time counts as unreachable. */
export const RESPONSE_TIMEOUT_MILLISECONDS = 1_000;

/** Creates the requesting side. */
export function createPeerRequests(network: PeerNetwork): PeerRequests {
    const waiting = new Map<string, (answer: PeerMessage) => void>();
    Object.values(responseKinds).forEach(kind =>
        network.onMessage(kind, (...[, answer]) => waiting.get(answer.request)?.(answer))
    );
    return {
        send: async <Kind extends RequestKind>(daemon: string, body: RequestOf<Kind>) => {
            const request = randomUUID();
            const answer = new Promise<PeerMessage | undefined>(resolve => {
                const timer = setTimeout(() => resolve(undefined), RESPONSE_TIMEOUT_MILLISECONDS);
                waiting.set(request, message => {
                    clearTimeout(timer);
                    resolve(message);
                });
                if (!network.send(daemon, { ...body, request } as unknown as PeerMessage)) {
                    clearTimeout(timer);
                    resolve(undefined);
                }
            });
            return await answer.finally(() => waiting.delete(request)) as ResponseOf<Kind> | undefined;
        },
    };
}
