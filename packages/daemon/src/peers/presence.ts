/** Announces this daemon to the others and keeps the list of them. */
import type { EventLog } from "../ports/eventlog.js";
import type { DaemonPresence, PresenceTopic } from "../ports/presence.js";
import { StoreError, type TopicChange } from "../ports/registry.js";
import { followTopic } from "../tasks/followtopic.js";
import { jitteredDelay, sleep } from "../tasks/sleep.js";

/** What the presence works with. */
export interface PresenceParts {
    readonly topic: PresenceTopic;
    readonly self: DaemonPresence;
    readonly log: EventLog;
    /** Random number from 0 to below 1. */
    readonly random: () => number;
    /** Receives all announced daemons after each change. */
    readonly setPeers: (peers: readonly DaemonPresence[]) => void;
}

const RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 3_000;
const FOLLOW_PAUSE_MILLISECONDS = 100;
/** Daemons come and go seldom, and a late notice of one does no harm. */
const FOLLOW_WAIT_MILLISECONDS = 15_000;

/** Starts to announce and to follow. */
export function startPresence({ topic, self, log, random, setPeers }: PresenceParts): void {
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
            await topic.announce(self);
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
    announce(0).catch((error: unknown) => log.emit("taskFailed", { task: "presence", error }));
    followTopic({
        topic,
        log,
        random,
        waitMilliseconds: () => FOLLOW_WAIT_MILLISECONDS,
        pauseMilliseconds: () => FOLLOW_PAUSE_MILLISECONDS,
        replace: changes => {
            peers.clear();
            apply(changes);
        },
        apply,
    });
}
