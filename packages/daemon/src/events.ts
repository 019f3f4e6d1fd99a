/** Catalogue of numbered log events. `docs/events.md` is generated from it. */

/** Level of an event, as bunyan names it. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** Definition of one event. The text ends with a period and names the thing concerned. */
export interface EventDefinition {
    readonly number: number;
    readonly level: EventLevel;
    readonly text: string;
    /** What an operator does about it. */
    readonly action: string;
}

const define = (number: number, level: EventLevel, text: string, action = "None."): EventDefinition => ({
    number,
    level,
    text,
    action,
});

/**
 * All events. Numbers are never reused. 1xx process, 2xx streams and table, 3xx requests and claims, 4xx groups and
 * targets, 5xx membership and peers, 6xx limits.
 */
export const events = {
    daemonStarted: define(101, "info", "The daemon started."),
    daemonReady: define(102, "info", "The daemon is ready for callers."),
    daemonDraining: define(103, "info", "The daemon is draining; new requests are refused."),
    daemonStopped: define(104, "info", "The daemon stopped."),
    shutdownCut: define(
        105,
        "warn",
        "The shutdown bound or a second signal cut off requests in progress.",
        "Raise the shutdown bound if callers lost answers.",
    ),
    controlFailed: define(107, "warn", "A request of an operator failed.", "Look at the error; retry the command."),
    taskFailed: define(106, "error", "A task failed to handle a message.", "Report the error with its stack."),
} as const satisfies Record<string, EventDefinition>;

/** Name of an event. */
export type EventName = keyof typeof events;
