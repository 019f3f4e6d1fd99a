/**
 * State of a claims stream: the holder of each key, in claim order. It uses persistent maps, which share structure
 * between versions, because a stream retains up to 100,000 keys and changes with each batch.
 */
import { Map as PersistentMap } from "immutable";
import { z } from "zod";
import { outcomeSchema } from "../outcome.js";

/** Schema of a held key. Times are the platform's append times in milliseconds; hashes are SHA-256 in hex. */
export const heldKeySchema = z.object({
    team: z.string(),
    keyHash: z.string(),
    bodyHash: z.string(),
    claim: z.string(),
    daemon: z.string(),
    incarnation: z.string(),
    claimedAt: z.number(),
    status: z.number().int().optional(),
    outcome: outcomeSchema.optional(),
});

/** A held key, with the outcome of its request once it is known. */
export type HeldKey = z.infer<typeof heldKeySchema>;

interface Slot {
    readonly sequence: number;
    readonly held: HeldKey;
}

/** Immutable state of a claims stream. */
export class ClaimsState {
    static readonly empty = new ClaimsState(Number.MIN_SAFE_INTEGER, 0, 0, PersistentMap(), PersistentMap());

    private constructor(
        /** Maximum append time so far. Expiry is based on it because append times may go backwards. */
        readonly maximumTime: number,
        private readonly firstSequence: number,
        private readonly nextSequence: number,
        private readonly slots: PersistentMap<string, Slot>,
        private readonly order: PersistentMap<number, string>,
    ) {}

    /** Number of retained keys. */
    get size(): number {
        return this.slots.size;
    }

    /** Returns the holder of a key. */
    get(team: string, keyHash: string): HeldKey | undefined {
        return this.slots.get(slotKey(team, keyHash))?.held;
    }

    /** Expires old keys and applies changes as one update. `change` must not use the draft after it returns. */
    update(time: number, lifetimeMilliseconds: number, change: (draft: ClaimsDraft) => void): ClaimsState {
        const draft = {
            maximumTime: Math.max(this.maximumTime, time),
            firstSequence: this.firstSequence,
            nextSequence: this.nextSequence,
            slots: this.slots.asMutable(),
            order: this.order.asMutable(),
        };
        removeExpired(draft, draft.maximumTime - lifetimeMilliseconds);
        change({
            get: (team, keyHash) => draft.slots.get(slotKey(team, keyHash))?.held,
            add: held => addSlot(draft, held),
            replace: held => {
                draft.slots.update(
                    slotKey(held.team, held.keyHash),
                    slot => slot === undefined ? undefined as never : { ...slot, held },
                );
            },
            remove: held => removeSlot(draft, slotKey(held.team, held.keyHash)),
        });
        return new ClaimsState(
            draft.maximumTime,
            draft.firstSequence,
            draft.nextSequence,
            draft.slots.asImmutable(),
            draft.order.asImmutable(),
        );
    }

    /** Creates a state from its serialized form. */
    static from({ maximumTime, keys }: SerializedClaims): ClaimsState {
        return new ClaimsState(
            maximumTime,
            0,
            keys.length,
            PersistentMap(
                keys.map((held, sequence) => [slotKey(held.team, held.keyHash), { sequence, held }] as const),
            ),
            PersistentMap(keys.map((held, sequence) => [sequence, slotKey(held.team, held.keyHash)] as const)),
        );
    }

    /** Returns the serialized form: keys in claim order. Sequence numbers are local and not serialized. */
    toJSON(): SerializedClaims {
        const slots = [...this.slots.values()].sort((left, right) => left.sequence - right.sequence);
        return { maximumTime: this.maximumTime, keys: slots.map(({ held }) => held) };
    }
}

/** Mutable view of a state while a record is applied. */
export interface ClaimsDraft {
    get(team: string, keyHash: string): HeldKey | undefined;
    add(held: HeldKey): void;
    /** Replaces the value of a held key. */
    replace(held: HeldKey): void;
    remove(held: HeldKey): void;
}

const serializedSchema = z.object({ maximumTime: z.number(), keys: z.array(heldKeySchema) });
type SerializedClaims = z.infer<typeof serializedSchema>;

/** Schema of the state. Parses the serialized form. */
export const claimsStateSchema = serializedSchema.transform(ClaimsState.from);

interface DraftFields {
    readonly maximumTime: number;
    firstSequence: number;
    nextSequence: number;
    readonly slots: PersistentMap<string, Slot>;
    readonly order: PersistentMap<number, string>;
}

function slotKey(team: string, keyHash: string): string {
    return `${team} ${keyHash}`;
}

function addSlot(draft: DraftFields, held: HeldKey): void {
    const key = slotKey(held.team, held.keyHash);
    draft.slots.set(key, { sequence: draft.nextSequence, held });
    draft.order.set(draft.nextSequence, key);
    draft.nextSequence += 1;
}

function removeSlot(draft: DraftFields, key: string): void {
    const slot = draft.slots.get(key);
    if (slot !== undefined) {
        draft.order.delete(slot.sequence);
        draft.slots.delete(key);
    }
}

/**
 * Removes expired keys. Claim times increase with the sequence, so the oldest keys come first, and each sequence number
 * is visited only once.
 */
function removeExpired(draft: DraftFields, before: number): void {
    while (draft.firstSequence < draft.nextSequence) {
        const key = draft.order.get(draft.firstSequence);
        const slot = key === undefined ? undefined : draft.slots.get(key);
        if (slot !== undefined && slot.held.claimedAt > before) {
            return;
        }
        if (key !== undefined) {
            removeSlot(draft, key);
        }
        draft.firstSequence += 1;
    }
}
