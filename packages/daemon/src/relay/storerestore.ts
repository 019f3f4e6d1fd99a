/** Logging of the store's era, and what followers do when the store comes back from an older copy. */
import type { StoreEra } from "@damaskvale/core";
import type { EventLog } from "../ports/eventlog.js";
import type { TopicFollower } from "../tasks/followtopic.js";

/** Logs each rise of the era, and the first statement that is ignored for each reason. */
export function logStoreEra(storeEra: StoreEra, log: EventLog): void {
    storeEra.onRisen((era, previous) => log.emit("storeEraRose", { era, previous }));
    storeEra.onIgnored(({ reason, statement }) =>
        log.emit("storeEraIgnored", { reason, statement, era: storeEra.current() })
    );
}

/** Makes followers notice at once that the store came back from an older copy, although their reads may be waiting. */
export function refreshAfterRestore(storeEra: StoreEra, followers: readonly TopicFollower[]): void {
    storeEra.onRisen(() => followers.forEach(follower => follower.refresh(0)));
}
