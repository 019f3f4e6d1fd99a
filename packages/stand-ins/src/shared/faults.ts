/** Fault injection: faults that a test enables in a running stand-in. */
import { z } from "zod";

/**
 * Schema of the body of `POST /stand-in/faults`.
 *
 * - `freeze`: requests are held before execution and work in progress stops until the fault is cleared. The held
 *   requests are then executed, even if the client has disconnected, because a paused process also resumes with the
 *   requests in its socket buffers.
 * - `slow`: requests are delayed by `milliseconds` before they are executed.
 * - `dropAnswer`: the request is executed, after `milliseconds` if given, and the connection is closed unanswered.
 * - `holdAnswer`: the request is executed, and the response is held until the fault is cleared.
 * - `dropRequest`: the connection is closed and the request is not executed.
 * - `silence`: connections that are currently open stop delivering data; new connections work.
 * - `outage`: requests are rejected with 503.
 * - `retentionCut`: the platform drops all but the newest `keep` entries of every stream.
 * - `clear`: clears all faults.
 *
 * A fault applies to paths that start with `route`, for `count` requests or until it is cleared.
 */
export const faultSchema = z.object({
    fault: z.enum([
        "freeze",
        "slow",
        "dropAnswer",
        "holdAnswer",
        "dropRequest",
        "silence",
        "outage",
        "retentionCut",
        "clear",
    ]),
    route: z.string().default("/"),
    method: z.string().optional(),
    count: z.number().int().positive().optional(),
    milliseconds: z.number().nonnegative().default(0),
    keep: z.number().int().nonnegative().default(0),
});

/** Validated fault. */
export type Fault = z.infer<typeof faultSchema>;
/** Fault as a test posts it, before defaults are applied. */
export type FaultRequest = z.input<typeof faultSchema>;
/** Name of a fault. */
export type FaultName = Fault["fault"];

/** Active fault, with the number of requests that it was applied to. */
export interface ActiveFault extends Fault {
    used: number;
}

/** Active faults of one process. */
export interface Faults {
    set(fault: Fault): void;
    /** Returns the first active fault of this name that matches the request, and counts one use of it. */
    take(name: FaultName, method: string, path: string): Fault | undefined;
    /** Whether a fault of this name matches the request. Does not count a use. */
    isActive(name: FaultName, method: string, path: string): boolean;
    /** Resolves once no fault of this name matches the request; counts one use if it has to wait. */
    waitUntilCleared(name: FaultName, method: string, path: string): Promise<void>;
    active(): readonly ActiveFault[];
    /** Calls the listener for each fault that is set, including `clear`. */
    subscribe(listener: (fault: Fault) => void): void;
}

/** Creates an empty set of faults. */
export function createFaults(): Faults {
    const listeners: ((fault: Fault) => void)[] = [];
    let active: ActiveFault[] = [];
    let pendingResumes: (() => void)[] = [];

    const find = (name: FaultName, method: string, path: string): ActiveFault | undefined =>
        active.find(({ fault, route, method: only, count = Number.POSITIVE_INFINITY, used }) =>
            fault === name && path.startsWith(route) && (only === undefined || only === method) && used < count
        );
    const clear = (): void => {
        active = [];
        const resumes = pendingResumes;
        pendingResumes = [];
        resumes.forEach(resume => resume());
    };
    return {
        set: fault => {
            if (fault.fault === "clear") {
                clear();
            }
            else {
                active = [...active, { ...fault, used: 0 }];
            }
            listeners.forEach(listener => listener(fault));
        },
        take: (name, method, path) => {
            const found = find(name, method, path);
            if (found !== undefined) {
                found.used += 1;
            }
            return found;
        },
        isActive: (name, method, path) => find(name, method, path) !== undefined,
        waitUntilCleared: async (name, method, path) => {
            const found = find(name, method, path);
            if (found !== undefined) {
                found.used += 1;
                await new Promise<void>(resolve => pendingResumes.push(resolve));
            }
        },
        active: () => active,
        subscribe: listener => {
            listeners.push(listener);
        },
    };
}
