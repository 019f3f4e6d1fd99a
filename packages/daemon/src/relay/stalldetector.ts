/** Detects heads that stop making progress on this daemon's streams, and moves the streams to other groups. */
import type { LoadTracker, TargetLoad } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";

/** Collaborators of the detector. */
export interface StallDetectorParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly loadTracker: LoadTracker;
    /** Current group of a host, if known. */
    readonly groupOf: (host: string) => string | undefined;
    /** Moves the streams of a head to other groups. */
    readonly moveStreams: (head: string) => void;
    /** Reports a stalled or unusable head to the planner and the other daemons. */
    readonly report: (head: string) => void;
}

/** Least time between two checks, also while a head is suspected, which may go on at any time. */
const CHECK_INTERVAL_MILLISECONDS = 100;
/** Longest time between two checks: a request that is sent meanwhile cannot have stalled before the next one. */
const LONGEST_INTERVAL_MILLISECONDS = 400;
/** One pass of a full batch that reads a prompt in each step takes about 300 ms. */
const STALL_MILLISECONDS = 500;
/** Before its first event, a request also waits for earlier prompts and for a new connection. */
const FIRST_EVENT_STALL_MILLISECONDS = 1_000;
/** A suspected head gets requests again after this time, or earlier if it is known to go on. */
export const SUSPICION_MILLISECONDS = 6_000;

/** A running detector. */
export interface StallDetector {
    /** Marks a head as suspected because it cannot be used, even if it has no requests in progress. */
    headUnusable(head: string): void;
    stop(): void;
}

/** Starts the detector. */
export function startStallDetector(parts: StallDetectorParts): StallDetector {
    let timer: NodeJS.Timeout;
    const schedule = (): void => {
        timer = setTimeout(() => {
            check(parts);
            schedule();
        }, nextCheckMilliseconds(parts));
    };
    schedule();
    return {
        headUnusable: head => markUnusable(parts, head),
        stop: () => clearTimeout(timer),
    };
}

function markUnusable({ clock, log, loadTracker, groupOf, report }: StallDetectorParts, head: string): void {
    if (loadTracker.get(head)?.suspectedAt === undefined) {
        const group = groupOf(head);
        loadTracker.suspect(head, clock.monotonic(), group);
        log.emit("headUnusable", { target: head, group });
        report(head);
    }
}

/** Returns the time until the first head may have stalled, within the bounds of the interval. */
function nextCheckMilliseconds({ clock, loadTracker }: StallDetectorParts): number {
    const now = clock.monotonic();
    const dueTimes = loadTracker.targets().flatMap(target => loadTracker.get(target) ?? []).map(load =>
        load.suspectedAt === undefined ? load.lastProgressAt + stallMilliseconds(load) - now : 0
    );
    const first = Math.min(LONGEST_INTERVAL_MILLISECONDS, ...dueTimes);
    return Math.max(CHECK_INTERVAL_MILLISECONDS, first);
}

/** Returns the time without progress after which a head counts as stalled. */
function stallMilliseconds({ awaitingFirstEvent, inProgress }: TargetLoad): number {
    return awaitingFirstEvent < inProgress ? STALL_MILLISECONDS : FIRST_EVENT_STALL_MILLISECONDS;
}

function check({ clock, log, loadTracker, groupOf, moveStreams, report }: StallDetectorParts): void {
    const now = clock.monotonic();
    loadTracker.targets().forEach(target => {
        const load = loadTracker.get(target);
        if (load === undefined) {
            return;
        }
        if (load.suspectedAt !== undefined) {
            if (now - load.suspectedAt > SUSPICION_MILLISECONDS || isInOtherGroup(load, groupOf(target))) {
                loadTracker.clear(target);
            }
            return;
        }
        if (load.inProgress > 0 && now - load.lastProgressAt > stallMilliseconds(load) && load.streams) {
            loadTracker.suspect(target, now, groupOf(target));
            log.emit("targetStalled", {
                target,
                inProgress: load.inProgress,
                silentMilliseconds: Math.round(now - load.lastProgressAt),
            });
            report(target);
            moveStreams(target);
        }
    });
}

/** Returns whether a suspected target has moved to another group than the one in which it was suspected. */
function isInOtherGroup({ suspectedInGroup }: TargetLoad, group: string | undefined): boolean {
    return group !== undefined && suspectedInGroup !== undefined && group !== suspectedInGroup;
}
