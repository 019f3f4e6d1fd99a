/** Watches the heads that serve streams of this daemon and moves the streams away when a head stops. */
import type { LoadTracker, TargetLoad } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";

/** What the watch works with. */
export interface StallWatchParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly board: LoadTracker;
    /** Group that a host is in now, as far as known. */
    readonly groupOf: (host: string) => string | undefined;
    /** Moves the streams of a head to other groups. */
    readonly moveStreams: (head: string) => void;
    /** Tells others that a head stopped. */
    readonly report: (head: string) => void;
}

const CHECK_INTERVAL_MILLISECONDS = 100;
/** A pass of a full batch with a prompt in each step takes about 300 ms. */
const STALL_MILLISECONDS = 500;
/** A request without a first event also waits for prompts before it and for a new connection. */
const FIRST_EVENT_STALL_MILLISECONDS = 1_000;
/** After this time, a head that was suspected gets requests again. */
const SUSPICION_MILLISECONDS = 6_000;

/** A running watch. */
export interface StallWatch {
    /** Notes that a head cannot be used although it may have no requests in progress. */
    headUnusable(head: string): void;
    stop(): void;
}

/** Starts the watch. */
export function startStallWatch(parts: StallWatchParts): StallWatch {
    const timer = setInterval(() => check(parts), CHECK_INTERVAL_MILLISECONDS);
    return {
        headUnusable: head => noteUnusable(parts, head),
        stop: () => clearInterval(timer),
    };
}

function noteUnusable({ clock, log, board, groupOf, report }: StallWatchParts, head: string): void {
    if (board.get(head)?.suspectedAt === undefined) {
        const group = groupOf(head);
        board.suspect(head, clock.monotonic(), group);
        log.emit("headUnusable", { target: head, group });
        report(head);
    }
}

function check({ clock, log, board, groupOf, moveStreams, report }: StallWatchParts): void {
    const now = clock.monotonic();
    board.targets().forEach(target => {
        const load = board.get(target);
        if (load === undefined) {
            return;
        }
        if (load.suspectedAt !== undefined) {
            if (now - load.suspectedAt > SUSPICION_MILLISECONDS || isInOtherGroup(load, groupOf(target))) {
                board.clear(target);
            }
            return;
        }
        const limit = load.awaitingFirstEvent < load.inProgress ? STALL_MILLISECONDS : FIRST_EVENT_STALL_MILLISECONDS;
        if (load.inProgress > 0 && now - load.lastProgressAt > limit && load.streams) {
            board.suspect(target, now, groupOf(target));
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

/** Returns whether a suspected target is in another group than the one that gave rise to the suspicion. */
function isInOtherGroup({ suspectedInGroup }: TargetLoad, group: string | undefined): boolean {
    return group !== undefined && suspectedInGroup !== undefined && group !== suspectedInGroup;
}
