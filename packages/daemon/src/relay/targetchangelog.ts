/** Logs changes of targets: one event for each change, or one for each kind when many targets change at once. */
import { groupBy, type Target } from "@damaskvale/core";
import type { EventLog } from "../ports/eventlog.js";
import type { TargetChangeKind, TargetChangeListener } from "./statetypes.js";

/** More changes than this at once are logged together, as when a daemon starts and reads the whole registry. */
const MOST_SINGLE_EVENTS = 10;

/** Creates a listener that logs the changes of one turn of the event loop together. */
export function createTargetChangeLog(log: () => EventLog): TargetChangeListener {
    let changes: { readonly kind: TargetChangeKind; readonly target: Target; }[] = [];
    const flush = (): void => {
        const flushed = changes;
        changes = [];
        if (flushed.length <= MOST_SINGLE_EVENTS) {
            flushed.forEach(({ kind, target: { id, service, address, startedAt, domain } }) =>
                log().emit("targetsChanged", { kind, target: id, service, address, startedAt, domain })
            );
            return;
        }
        groupBy(flushed, ({ kind }) => kind).forEach((changed, kind) =>
            log().emit("targetsChanged", {
                kind,
                count: changed.length,
                targets: changed.map(({ target }) => describeTarget(target)),
            })
        );
    };
    return (kind, target) => {
        changes.push({ kind, target });
        if (changes.length === 1) {
            queueMicrotask(flush);
        }
    };
}

function describeTarget({ id, service, address, startedAt, domain }: Target): string {
    return [id, service, address, startedAt, domain].join(" ");
}
