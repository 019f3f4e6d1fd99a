/** Lifetime of one request: why it must stop, and whether anything of it may have run at a target. */
import type { Clock } from "../ports/clock.js";
import type { TargetFailure } from "../ports/engine.js";

/** Why a request stops early. */
export type StopReason = "deadline" | "gone" | "cut";

/** Lifetime of one request. */
export interface Lifetime {
    /** Aborts when the request must stop. */
    readonly signal: AbortSignal;
    /** Resolves when the signal aborts. */
    readonly stopped: Promise<void>;
    reason(): StopReason | undefined;
    stop(reason: StopReason): void;
    /** Whether the deadline has passed on the monotonic clock, also if no timer has fired yet after a pause. */
    late(): boolean;
    /** Calls the listener when the request is cut off, also after it has stopped for another reason. */
    onCut(listener: () => void): void;
    remaining(): number;
    end(): void;
}

/** Starts the lifetime of a request. */
export function createLifetime(clock: Clock, deadlineAt: number, gone: AbortSignal): Lifetime {
    const controller = new AbortController();
    let stopped: StopReason | undefined;

    const cutListeners: (() => void)[] = [];
    let announce = (): void => undefined;
    const announced = new Promise<void>(resolve => {
        announce = resolve;
    });
    const stop = (reason: StopReason): void => {
        stopped = reason === "cut" ? reason : stopped ?? reason;
        if (reason === "cut") {
            cutListeners.forEach(listener => listener());
        }
        controller.abort();
        announce();
    };
    const onGone = (): void => stop("gone");
    const timer = setTimeout(() => stop("deadline"), Math.max(0, deadlineAt - clock.monotonic()));
    gone.addEventListener("abort", onGone, { once: true });
    if (gone.aborted) {
        onGone();
    }

    return {
        signal: controller.signal,
        stopped: announced,
        reason: () => stopped ?? (clock.monotonic() >= deadlineAt ? "deadline" : undefined),
        stop,
        late: () => clock.monotonic() >= deadlineAt,
        onCut: listener => {
            cutListeners.push(listener);
        },
        remaining: () => deadlineAt - clock.monotonic(),
        end: () => {
            clearTimeout(timer);
            gone.removeEventListener("abort", onGone);
        },
    };
}

/** Whether a failure proves that the target did not run the request and will not. */
export function provesNotRun(failure: TargetFailure): boolean {
    return failure.kind === "not-sent" || failure.kind === "refused";
}

/** Waits, or returns earlier when the signal aborts. */
export function pause(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted || milliseconds <= 0) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const finish = (): void => {
            clearTimeout(timer);
            signal.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        signal.addEventListener("abort", finish, { once: true });
    });
}
