/** Lifetime of one request: when and why it must stop. */
import type { Clock } from "../ports/clock.js";
import type { TargetFailure } from "../ports/engine.js";

/** Why a request stops early: its deadline passed, its caller disconnected, or the shutdown cut it off. */
export type StopReason = "deadline" | "gone" | "cut";

/** Lifetime of one request. */
export interface Lifetime {
    /** Aborts when the request must stop. */
    readonly signal: AbortSignal;
    /** Resolves when the signal aborts. */
    readonly stopped: Promise<void>;
    /** Why the request must stop, or `undefined`. */
    reason(): StopReason | undefined;
    stop(reason: StopReason): void;
    /** Whether the deadline has passed on the monotonic clock, even if the timer is late after a pause of the process. */
    isPastDeadline(): boolean;
    /** Calls the listener when the request is cut off, even if it has already stopped for another reason. */
    onCutOff(listener: () => void): void;
    remainingMilliseconds(): number;
    /** Releases the timer and the listeners. */
    end(): void;
}

/** Starts the lifetime of a request. `deadlineAt` is monotonic milliseconds. */
export function createLifetime(clock: Clock, deadlineAt: number, gone: AbortSignal): Lifetime {
    const controller = new AbortController();
    let stopReason: StopReason | undefined;

    const cutOffListeners: (() => void)[] = [];
    let resolveStopped = (): void => undefined;
    const stoppedPromise = new Promise<void>(resolve => {
        resolveStopped = resolve;
    });
    const stop = (reason: StopReason): void => {
        stopReason = reason === "cut" ? reason : stopReason ?? reason;
        if (reason === "cut") {
            cutOffListeners.forEach(listener => listener());
        }
        controller.abort();
        resolveStopped();
    };
    const onGone = (): void => stop("gone");
    const timer = setTimeout(() => stop("deadline"), Math.max(0, deadlineAt - clock.monotonic()));
    gone.addEventListener("abort", onGone, { once: true });
    if (gone.aborted) {
        onGone();
    }

    return {
        signal: controller.signal,
        stopped: stoppedPromise,
        reason: () => stopReason ?? (clock.monotonic() >= deadlineAt ? "deadline" : undefined),
        stop,
        isPastDeadline: () => clock.monotonic() >= deadlineAt,
        onCutOff: listener => {
            cutOffListeners.push(listener);
        },
        remainingMilliseconds: () => deadlineAt - clock.monotonic(),
        end: () => {
            clearTimeout(timer);
            gone.removeEventListener("abort", onGone);
        },
    };
}

/** Whether a failure proves that the target has not run the request and will not run it. */
export function isProvenNotRun(failure: TargetFailure): boolean {
    return failure.kind === "not-sent" || failure.kind === "refused";
}

/** Waits for the given time, or until the signal aborts. */
export function sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
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
