/** Combines what the registry says of a target with what is already known of its process. */
import { isEarlierMembership, type Target } from "@damaskvale/core";

/**
 * A process that has announced its end never takes requests again, whatever an older entry says. Without a start time, an
 * entry is taken for one of the same process only if that process said itself that it leaves.
 */
export function keepDraining(entry: Target, known: Target | undefined, isLeaving: boolean): Target {
    const isSameProcess = entry.startedAt === known?.startedAt && (isLeaving || entry.startedAt !== undefined);
    return isSameProcess && known?.draining === true ? { ...entry, draining: true } : entry;
}

/** Returns an entry of an older copy of the store with what is known to be newer. */
export function keepNewerFields(entry: Target, known: Target | undefined): Target {
    if (known === undefined || !known.registered) {
        return entry;
    }
    if (known.startedAt !== entry.startedAt) {
        return (known.startedAt ?? 0) > (entry.startedAt ?? 0) ? known : entry;
    }
    const { membership } = known;
    const isOlder = membership !== undefined
        && (entry.membership === undefined || isEarlierMembership(entry.membership, membership));
    return isOlder ? { ...entry, membership, model: known.model } : entry;
}
