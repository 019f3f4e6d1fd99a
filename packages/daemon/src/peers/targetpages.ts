/**
 * Registry changes that a collector read, as messages for the daemons that report to it. Unchanged entries are left out,
 * since every host writes its entry with each heartbeat, and sent again from time to time.
 */
import type { Target } from "@damaskvale/core";
import { z } from "zod";
import type { TopicChange, TopicRange } from "../ports/registry.js";
import { withWriteNumber } from "../relay/targetentries.js";
import { addressSchema } from "./address.js";

/** Schema of the membership of a host in a group. */
export const membershipSchema = z.object({
    group: z.string(),
    epoch: z.number(),
    rank: z.number(),
    state: z.enum(["joining", "ready", "open", "closing", "broken"]),
});

const targetSchema = z.object({
    id: z.string(),
    service: z.string(),
    address: addressSchema,
    dataCentre: z.string(),
    draining: z.boolean(),
    registered: z.boolean(),
    slots: z.number().positive(),
    domain: z.string().optional(),
    startedAt: z.number().optional(),
    stagedModels: z.array(z.string()),
    model: z.string().optional(),
    busy: z.boolean(),
    /** Number of the entry. The name is that of earlier versions, which require it. */
    orderSequence: z.number(),
    /** Absent if the entry states nothing, and in messages of daemons of earlier versions. */
    coldMilliseconds: z.number().nonnegative().optional().catch(undefined),
    membership: membershipSchema.optional(),
});

/** Schema of a range of registry changes. */
export const targetRangeSchema = z.object({
    fromOffset: z.number(),
    nextOffset: z.number(),
    era: z.number(),
    // A daemon of the build before may pass on an entry that this one refuses; the entry then counts as none.
    changes: z.array(z.object({ key: z.string(), value: targetSchema.optional().catch(undefined) })),
});

/** A range as it is sent. */
export type TargetRangeMessage = z.infer<typeof targetRangeSchema>;

/** Encodes a range. */
export function encodeTargetRange({ fromOffset, nextOffset, era, changes }: TopicRange<Target>): TargetRangeMessage {
    return {
        fromOffset,
        nextOffset,
        era,
        changes: changes.map(change => ({ key: change.key, value: withWriteNumber(change).map(encodeTarget)[0] })),
    };
}

function encodeTarget({ stagedModels, entryNumber, ...target }: Target): z.infer<typeof targetSchema> {
    return { ...target, stagedModels: [...stagedModels], orderSequence: entryNumber };
}

/** Decodes a range. */
export function decodeTargetRange({ changes, ...range }: TargetRangeMessage): TopicRange<Target> {
    return { ...range, changes: changes.map(({ key, value }) => ({ key, value: value && decodeTarget(value) })) };
}

function decodeTarget({ orderSequence, ...target }: z.infer<typeof targetSchema>): Target {
    return { ...target, entryNumber: orderSequence };
}

/** Selects from what this daemon reads what it passes on. */
export interface TargetPages {
    /** Returns the ranges to send, each small enough for one datagram. `now` is in monotonic milliseconds. */
    split(range: TopicRange<Target>, now: number): TopicRange<Target>[];
    /** Records that another daemon passed a change on, so that what this one reads next for its key is no repetition. */
    recordReceived(key: string): void;
}

/** Changes in one message; an entry takes up to some 350 bytes. */
const CHANGES_PER_MESSAGE = 120;
/** A daemon that holds something else for true than an entry says is corrected after this time, in a small fleet. */
const RESEND_MILLISECONDS = 20_000;
/** The same for each entry of a large fleet, so that the entries without change stay few in each second. */
const RESEND_MILLISECONDS_PER_TARGET = 70;

/** Creates pages of which nothing has been sent. */
export function createTargetPages(): TargetPages {
    const sent = new Map<string, { readonly value: Target; readonly at: number; }>();
    const resendMilliseconds = (): number => Math.max(RESEND_MILLISECONDS, sent.size * RESEND_MILLISECONDS_PER_TARGET);
    const isNews = ({ key, value }: TopicChange<Target>, now: number): boolean => {
        const last = sent.get(key);
        if (value === undefined) {
            sent.delete(key);
            return true;
        }
        const isUnchanged = last?.value === value && now - last.at < resendMilliseconds();
        if (!isUnchanged) {
            sent.set(key, { value, at: now });
        }
        return !isUnchanged;
    };
    return {
        recordReceived: key => void sent.delete(key),
        split: (range, now) => cutIntoRanges(range, range.changes.filter(change => isNews(change, now))),
    };
}

/** Cuts a range so that each part continues the one before it. */
function cutIntoRanges(
    { fromOffset, nextOffset, era }: TopicRange<Target>,
    changes: readonly TopicChange<Target>[],
): TopicRange<Target>[] {
    const parts = Math.max(1, Math.ceil(changes.length / CHANGES_PER_MESSAGE));
    const startOf = (part: number): number =>
        part === 0 ? fromOffset : changes[part * CHANGES_PER_MESSAGE]?.offset ?? nextOffset;
    return Array.from({ length: parts }, (...[, part]) => ({
        fromOffset: startOf(part),
        nextOffset: part === parts - 1 ? nextOffset : startOf(part + 1),
        era,
        changes: changes.slice(part * CHANGES_PER_MESSAGE, (part + 1) * CHANGES_PER_MESSAGE),
    }));
}
