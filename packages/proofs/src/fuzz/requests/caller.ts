/** Caller of one request; records the answers and chunks that it receives. */
import type { ErrorCode, Outcome } from "@damaskvale/core";
import { errorCodes } from "@damaskvale/core";
import type { ResponseSink } from "@damaskvale/daemon";
import type { Trace } from "../types.js";
import type { SubmitStep } from "./scenario.js";

/** Final answer of a request. */
export interface FinalAnswer {
    readonly kind: "whole" | "done" | "fail";
    readonly outcome: Outcome;
    readonly body?: string;
    readonly code?: ErrorCode;
    readonly retryAfterMilliseconds?: number;
}

/** Caller of one request. */
export interface Caller {
    readonly id: string;
    /** Text that its answer must contain. */
    readonly marker: string;
    readonly step: SubmitStep;
    readonly sink: ResponseSink;
    readonly finalAnswers: readonly FinalAnswer[];
    readonly chunks: readonly string[];
    disconnect(): void;
    track(ended: Promise<void>): void;
    /** Whether the dispatcher has finished processing the request. */
    hasEnded(): boolean;
}

/** Creates a caller. */
export function createCaller(id: string, marker: string, step: SubmitStep, trace: Trace): Caller {
    const disconnected = new AbortController();
    const finalAnswers: FinalAnswer[] = [];
    const chunks: string[] = [];
    const state = { settled: false };
    const finish = (answer: FinalAnswer): void => {
        trace(`${id} got an answer: ${answer.kind} ${answer.outcome} ${answer.code ?? ""}`);
        finalAnswers.push(answer);
    };
    return {
        id,
        marker,
        step,
        finalAnswers,
        chunks,
        disconnect: () => disconnected.abort(),
        track: ended => {
            ended.then(() => {
                state.settled = true;
            }, () => undefined);
        },
        hasEnded: () => state.settled,
        sink: {
            gone: disconnected.signal,
            respond: ({ body, outcome }) => finish({ kind: "whole", outcome, body: body.toString() }),
            chunk: data => {
                chunks.push(data);
                return undefined;
            },
            done: () => finish({ kind: "done", outcome: "complete" }),
            fail: ({ code, outcome, retryAfterMilliseconds }) =>
                finish({ kind: "fail", code, outcome: outcome ?? errorCodes[code].outcome, retryAfterMilliseconds }),
        },
    };
}
