/** Announces this daemon to the others and follows their announcements. */
import type { StoreEra } from "@damaskvale/core";
import type { EventLog } from "../ports/eventlog.js";
import type { DaemonPresence, PresenceTopic } from "../ports/presence.js";
import { StoreError, type TopicChange } from "../ports/registry.js";
import { followTopic, type TopicFollower } from "../tasks/followtopic.js";
import { jitteredDelay, sleep } from "../tasks/sleep.js";
import { MOST_DAEMONS_AT_ONCE } from "./sendschedule.js";

/** Collaborators of the presence task. */
export interface PresenceParts {
    readonly topic: PresenceTopic;
    readonly self: DaemonPresence;
    readonly log: EventLog;
    /** Returns a random number in [0, 1), for the jitter of retries. */
    readonly random: () => number;
    /** Era of the store; this daemon announces itself again when it rises. */
    readonly storeEra: StoreEra;
    /** Called with all announced daemons after each change. */
    readonly setPeers: (peers: readonly DaemonPresence[]) => void;
}

const RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 3_000;
/** Time over which the daemons spread their announcements after the store came back from an older copy. */
const ANNOUNCE_SPREAD_MILLISECONDS = 500;
/** Each announcement ends the waiting reads of all daemons, so that a large fleet reads several of them together. */
const LEAST_FOLLOW_PAUSE_MILLISECONDS = 100;
/** Least pause in a fleet whose daemons do not all read for themselves. */
const LARGE_FLEET_FOLLOW_PAUSE_MILLISECONDS = 600;
const FOLLOW_PAUSE_MILLISECONDS_PER_DAEMON = 10;
/** Daemons rarely start or stop, and learning of it late does no harm. */
const FOLLOW_WAIT_MILLISECONDS = 15_000;

/** Announces this daemon, with retries, and starts to follow the presence topic. */
export function startPresence({ topic, self, log, random, storeEra, setPeers }: PresenceParts): TopicFollower {
    const peers = new Map<string, DaemonPresence>();
    const apply = (changes: readonly TopicChange<DaemonPresence>[]): void => {
        changes.forEach(({ key, value }) => {
            if (value === undefined) {
                peers.delete(key);
            }
            else {
                peers.set(key, value);
            }
        });
        setPeers([...peers.values()]);
    };
    const announce = async (failures: number): Promise<void> => {
        try {
            const era = await topic.announce(self);
            if (era < storeEra.current()) {
                throw new StoreError("refused", "The announcement was written in an earlier era of the store.");
            }
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.emit("announceFailed", { failures, reason: error.message });
            await sleep(jitteredDelay(failures, RETRY_MILLISECONDS, MAXIMUM_RETRY_MILLISECONDS, random()));
            await announce(failures + 1);
        }
    };
    const announceOnce = (): void => {
        announce(0).catch((error: unknown) => log.emit("taskFailed", { task: "presence", error }));
    };
    announceOnce();
    storeEra.onRisen(() => setTimeout(announceOnce, random() * ANNOUNCE_SPREAD_MILLISECONDS).unref());
    return followTopic({
        topic,
        log,
        random,
        currentEra: () => storeEra.current(),
        waitMilliseconds: () => FOLLOW_WAIT_MILLISECONDS,
        pauseMilliseconds: () => followPauseMilliseconds(peers.size),
        replace: (changes, isRestored) => {
            // Daemons that an older copy of the store lacks announce themselves again.
            if (!isRestored) {
                peers.clear();
            }
            apply(changes);
        },
        apply,
    });
}

function followPauseMilliseconds(daemons: number): number {
    const least = daemons > MOST_DAEMONS_AT_ONCE
        ? LARGE_FLEET_FOLLOW_PAUSE_MILLISECONDS
        : LEAST_FOLLOW_PAUSE_MILLISECONDS;
    return Math.max(least, daemons * FOLLOW_PAUSE_MILLISECONDS_PER_DAEMON);
}
