/** Faults that a test switches on in a stand-in while it runs. */
import { z } from "zod";

/**
 * Schema of the body of `POST /stand-in/faults`.
 *
 * - `freeze`: requests wait unexecuted and work in progress stops until the fault is cleared. They are executed then,
 *   even if their caller has gone, as a process that was paused does with what it finds in its buffers.
 * - `slow`: requests wait for `milliseconds` before they are executed.
 * - `dropAnswer`: the request is executed, after `milliseconds` if given, and its connection is closed unanswered.
 * - `holdAnswer`: the request is executed, and its answer waits until the fault is cleared.
 * - `dropRequest`: the connection is closed and the request is not executed.
 * - `silence`: connections that are open now deliver nothing any more; new connections work.
 * - `outage`: requests are refused with 503.
 * - `retentionCut`: the platform drops all but the newest `keep` entries of every stream.
 * - `clear`: ends all faults.
 *
 * A fault holds for paths that start with `route`, for `count` requests or until it is cleared.
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

/** One fault. */
export type Fault = z.infer<typeof faultSchema>;
/** Fault as a test posts it. */
export type FaultRequest = z.input<typeof faultSchema>;
/** Name of a fault. */
export type FaultName = Fault["fault"];

/** Fault in force, with the number of requests that it has met. */
export interface ActiveFault extends Fault {
    used: number;
}

/** Faults in force in one process. */
export interface Faults {
    set(fault: Fault): void;
    /** Takes one use of the first fault of this name that holds for the request. */
    take(name: FaultName, method: string, path: string): Fault | undefined;
    /** Whether a fault of this name holds for the request; does not use it up. */
    isActive(name: FaultName, method: string, path: string): boolean;
    /** Resolves once no fault of this name holds for the request. */
    waitUntilCleared(name: FaultName, method: string, path: string): Promise<void>;
    active(): readonly ActiveFault[];
    /** Calls the listener for each new fault. */
    subscribe(listener: (fault: Fault) => void): void;
}

/** Makes the faults of one process; none is in force. */
export function createFaults(): Faults {
    const listeners: ((fault: Fault) => void)[] = [];
    let active: ActiveFault[] = [];
    let waiting: (() => void)[] = [];

    const find = (name: FaultName, method: string, path: string): ActiveFault | undefined =>
        active.find(({ fault, route, method: only, count = Number.POSITIVE_INFINITY, used }) =>
            fault === name && path.startsWith(route) && (only === undefined || only === method) && used < count
        );
    const clear = (): void => {
        active = [];
        const resumed = waiting;
        waiting = [];
        resumed.forEach(resume => resume());
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
                await new Promise<void>(resolve => waiting.push(resolve));
            }
        },
        active: () => active,
        subscribe: listener => {
            listeners.push(listener);
        },
    };
}
