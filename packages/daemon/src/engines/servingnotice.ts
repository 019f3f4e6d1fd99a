/** Tells the other daemons which groups of the own domains began to serve; they would see it only in their next read. */
import type { Target } from "@damaskvale/core";
import type { ReportedMembership } from "../relay/statetypes.js";

/** Notice of groups that serve. */
export interface ServingNotice {
    /** Announces the heads that serve now and did not when this was last called. Other hosts are ignored. */
    announce(hosts: readonly Target[]): void;
    /** Records that a group was announced in another way. */
    recordAnnounced(group: string): void;
}

/** Creates a notice by which no group has been announced. */
export function createServingNotice(onMembership: (reported: ReportedMembership) => void): ServingNotice {
    let announced: ReadonlySet<string> = new Set();
    return {
        announce: hosts => {
            const serving = hosts.filter(({ membership }) => membership?.state === "open");
            serving.filter(({ membership }) => !announced.has(membership?.group ?? ""))
                .forEach(({ id, startedAt, model, membership }) =>
                    onMembership({ host: id, startedAt, model, membership })
                );
            announced = new Set(serving.map(({ membership }) => membership?.group ?? ""));
        },
        recordAnnounced: group => {
            announced = new Set([...announced, group]);
        },
    };
}
