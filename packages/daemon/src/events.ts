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
    taskFailed: define(106, "error", "A task failed to handle a message.", "Report the error with its stack."),
    streamUnreachable: define(
        201,
        "warn",
        "The platform's log of a stream cannot be read; the daemon serves on with the state that it has.",
        "Check the platform and the network to it.",
    ),
    streamReachable: define(202, "info", "The platform's log of a stream can be read again."),
    streamGap: define(
        203,
        "error",
        "Entries of a stream were removed before this daemon read them, and no newer state is available.",
        "Let a daemon that has a newer state reach this one.",
    ),
    streamRestored: define(204, "info", "The state of a stream was taken from a snapshot or a peer."),
    streamHalted: define(
        205,
        "error",
        "The fold of a stream stopped at a record of an unknown version or kind.",
        "Upgrade this daemon.",
    ),
    streamMalformed: define(206, "warn", "An entry of a stream is not a record and was skipped.", "Find its writer."),
    snapshotWritten: define(207, "info", "A snapshot of a stream was written to the log."),
    snapshotFailed: define(208, "warn", "A snapshot of a stream could not be written or read.", "Check the platform."),
    claimsAmbiguous: define(
        301,
        "warn",
        "The answer to a record of claims was lost; its claims are released when the log answers again.",
    ),
} as const satisfies Record<string, EventDefinition>;

/** Name of an event. */
export type EventName = keyof typeof events;
