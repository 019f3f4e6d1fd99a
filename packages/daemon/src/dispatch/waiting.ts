/** Requests that wait for admission. */
import type { Admission, AdmissionDecision, AdmissionRequest } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";

/** What came of waiting. */
export type AdmissionResult = Exclude<AdmissionDecision, { kind: "queued"; }> | { readonly kind: "withdrawn"; };

/** Queue in front of the attempts. */
export interface Waiting {
    /** Resolves when the request may run or is refused; withdraws it when the signal aborts. */
    admit(request: AdmissionRequest, signal: AbortSignal): Promise<AdmissionResult>;
    /** Ends an admitted request. */
    finish(id: string, tokens: number): void;
    /** Lets requests leave the queue after limits or capacity have changed. */
    poll(): void;
    close(): void;
}

/** Buckets refill while nothing else happens, so the queue is looked at this often. */
const POLL_INTERVAL_MILLISECONDS = 20;

/** Makes the queue of one daemon. `beforePoll` brings the capacity up to date. */
export function createWaiting(admission: Admission, clock: Clock, beforePoll: () => void): Waiting {
    const waiting = new Map<string, (result: AdmissionResult) => void>();
    let timer: NodeJS.Timeout | undefined;

    const settle = (id: string, result: AdmissionResult): boolean => {
        const resolve = waiting.get(id);
        waiting.delete(id);
        resolve?.(result);
        return resolve !== undefined;
    };

    const poll = (): void => {
        beforePoll();
        const now = clock.monotonic();
        const { admitted, refused } = admission.poll(now);
        admitted
            .filter(id => !settle(id, { kind: "admitted" }))
            .forEach(id => admission.finish(id, 0, now));
        refused.forEach(({ id, decision }) => settle(id, decision as AdmissionResult));
        schedule();
    };

    const schedule = (): void => {
        clearTimeout(timer);
        timer = waiting.size === 0 ? undefined : setTimeout(poll, POLL_INTERVAL_MILLISECONDS);
    };

    return {
        admit: (request, signal) => {
            const decision = admission.offer(request, clock.monotonic());
            if (decision.kind !== "queued") {
                return Promise.resolve(decision);
            }
            return new Promise(resolve => {
                const withdraw = (): void => {
                    if (waiting.has(request.id)) {
                        admission.cancel(request.id);
                        settle(request.id, { kind: "withdrawn" });
                    }
                };
                waiting.set(request.id, result => {
                    signal.removeEventListener("abort", withdraw);
                    resolve(result);
                });
                signal.addEventListener("abort", withdraw, { once: true });
                if (signal.aborted) {
                    withdraw();
                }
                schedule();
            });
        },
        finish: (id, tokens) => {
            admission.finish(id, tokens, clock.monotonic());
            if (waiting.size > 0) {
                poll();
            }
        },
        poll,
        close: () => clearTimeout(timer),
    };
}
