/** Combines what the registry says of a target with what is already known of its process. */
import { orderStatements, type Target } from "@damaskvale/core";
import type { TopicChange } from "../ports/registry.js";

/**
 * A process that has announced its end never takes requests again, whatever an older entry says. Without a start time, an
 * entry is taken for one of the same process only if that process said itself that it leaves.
 */
export function keepDraining(entry: Target, known: Target | undefined, isLeaving: boolean): Target {
    const isSameProcess = entry.startedAt === known?.startedAt && (isLeaving || entry.startedAt !== undefined);
    return isSameProcess && known?.draining === true ? { ...entry, draining: true } : entry;
}

/** Returns the entry of a change, if there is one, with the number with which it was written last. */
export function withWriteNumber({ value, writeNumber }: TopicChange<Target>): Target[] {
    if (value === undefined) {
        return [];
    }
    return writeNumber === undefined || writeNumber === value.entryNumber
        ? [value]
        : [{ ...value, entryNumber: writeNumber }];
}

/** Returns an entry with the group of its process that was reported a short time ago, if the entry shows an earlier one. */
export function keepReportedGroup(entry: Target, known: Target): Target | undefined {
    const { membership, leftEpoch, model } = known;
    const isEarlier = known.startedAt === entry.startedAt && orderStatements(entry, known) === "earlier";
    return isEarlier ? { ...entry, membership, leftEpoch, model } : undefined;
}

/** Returns an entry with the epoch that its process has left since the entry before, or earlier. */
export function withLeftEpoch(entry: Target, previous: Target | undefined, known: Target | undefined): Target {
    if (entry.membership !== undefined || previous === undefined || previous.startedAt !== entry.startedAt) {
        return entry;
    }
    return {
        ...entry,
        leftEpoch: previous.membership?.epoch ?? (known?.membership === undefined ? known?.leftEpoch : undefined),
    };
}

/** Returns an entry of an older copy of the store with what is known to be newer. */
export function keepNewerFields(entry: Target, known: Target | undefined): Target {
    if (known === undefined || !known.registered) {
        return entry;
    }
    if (known.startedAt !== entry.startedAt) {
        return (known.startedAt ?? 0) > (entry.startedAt ?? 0) ? known : entry;
    }
    const { membership, model } = known;
    const isOlder = entry.membership === undefined || orderStatements(entry, known) === "earlier";
    return membership !== undefined && isOlder ? { ...entry, membership, model } : entry;
}
