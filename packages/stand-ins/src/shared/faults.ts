/** Faults that a test switches on in a stand-in while it runs. */
import { z } from "zod";

/**
 * Schema of the body of `POST /stand-in/faults`.
 *
 * - `freeze`: requests wait unexecuted and work in progress stops until the fault is cleared.
 * - `slow`: requests wait for `milliseconds` before they are executed.
 * - `dropAnswer`: the request is executed, after `milliseconds` if given, and its connection is closed unanswered.
 * - `dropRequest`: the connection is closed and the request is not executed.
 * - `silence`: connections that are open now deliver nothing any more; new connections work.
 * - `outage`: requests are refused with 503.
 * - `retentionCut`: the platform drops all but the newest `keep` entries of every stream.
 * - `clear`: ends all faults.
 *
 * A fault holds for paths that start with `route`, for `count` requests or until it is cleared.
 */
export const faultSchema = z.object({
    fault: z.enum(["freeze", "slow", "dropAnswer", "dropRequest", "silence", "outage", "retentionCut", "clear"]),
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

interface ActiveFault extends Fault {
    remaining: number;
}

/** Faults in force in one process. */
export interface Faults {
    set(fault: Fault): void;
    /** Takes one use of the first fault of this name that holds for the request. */
    take(name: FaultName, method: string, path: string): Fault | undefined;
    /** Whether a fault of this name holds for the path; does not use it up. */
    holds(name: FaultName, path: string): boolean;
    /** Resolves once no `freeze` holds for the path. */
    thawed(path: string): Promise<void>;
    /** Calls the listener for each new fault. */
    subscribe(listener: (fault: Fault) => void): void;
}

/** Makes the faults of one process; none is in force. */
export function createFaults(): Faults {
    const listeners: ((fault: Fault) => void)[] = [];
    let active: ActiveFault[] = [];
    let waiting: (() => void)[] = [];

    const find = (name: FaultName, path: string, method?: string): ActiveFault | undefined =>
        active.find(({ fault, route, method: only }) =>
            fault === name && path.startsWith(route) && (only === undefined || method === undefined || only === method)
        );
    const thaw = (): void => {
        const resumed = waiting;
        waiting = [];
        resumed.forEach(resume => resume());
    };
    const faults: Faults = {
        set: fault => {
            if (fault.fault === "clear") {
                active = [];
                thaw();
            }
            else {
                active = [...active, { ...fault, remaining: fault.count ?? Number.POSITIVE_INFINITY }];
            }
            listeners.forEach(listener => listener(fault));
        },
        take: (name, method, path) => {
            const found = find(name, path, method);
            if (found !== undefined) {
                found.remaining -= 1;
                active = active.filter(({ remaining }) => remaining > 0);
            }
            return found;
        },
        holds: (name, path) => find(name, path) !== undefined,
        thawed: async path => {
            while (find("freeze", path) !== undefined) {
                await new Promise<void>(resolve => waiting.push(resolve));
            }
        },
        subscribe: listener => {
            listeners.push(listener);
        },
    };
    return faults;
}
