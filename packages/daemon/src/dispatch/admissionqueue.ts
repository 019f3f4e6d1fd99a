/** Queue of the requests that wait for admission. */
import type { Admission, AdmissionDecision, AdmissionRequest } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";

/** Result of waiting for admission. `withdrawn`: the signal aborted first. */
export type AdmissionResult = Exclude<AdmissionDecision, { kind: "queued"; }> | { readonly kind: "withdrawn"; };

/** Queue between the front end and the attempts. */
export interface AdmissionQueue {
    /** Resolves when the request is admitted or refused. Withdraws the request if the signal aborts. */
    admit(request: AdmissionRequest, signal: AbortSignal): Promise<AdmissionResult>;
    /** Marks an admitted request as finished and reports the tokens it used. */
    finish(id: string, tokens: number): void;
    /** Admits or refuses waiting requests after a change of limits or capacity. */
    poll(): void;
    close(): void;
}

/** The queue is polled, because rate limit buckets refill without any event. */
const POLL_INTERVAL_MILLISECONDS = 20;

/** Creates the queue of one daemon. `beforePoll` updates the capacity. */
export function createAdmissionQueue(admission: Admission, clock: Clock, beforePoll: () => void): AdmissionQueue {
    const waiters = new Map<string, (result: AdmissionResult) => void>();
    let timer: NodeJS.Timeout | undefined;

    const settle = (id: string, result: AdmissionResult): boolean => {
        const resolve = waiters.get(id);
        waiters.delete(id);
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
        timer = waiters.size === 0 ? undefined : setTimeout(poll, POLL_INTERVAL_MILLISECONDS);
    };

    return {
        admit: (request, signal) => {
            const decision = admission.offer(request, clock.monotonic());
            if (decision.kind !== "queued") {
                return Promise.resolve(decision);
            }
            return new Promise(resolve => {
                const withdraw = (): void => {
                    if (waiters.has(request.id)) {
                        admission.cancel(request.id);
                        settle(request.id, { kind: "withdrawn" });
                    }
                };
                waiters.set(request.id, result => {
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
            if (waiters.size > 0) {
                poll();
            }
        },
        poll,
        close: () => clearTimeout(timer),
    };
}
