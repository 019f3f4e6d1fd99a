/** Batches the claims of one partition into records and resends each record until it is decided. */
import { type ClaimsBody, type ClaimsState, MAXIMUM_CLAIMS_PER_RECORD } from "@damaskvale/core";
import type { Stream } from "../ports/stream.js";
import { jitteredDelay, sleep } from "./sleep.js";

/** Result of the claims of a record, as far as it is known before the timeout. */
export type BatchResult = "decided" | "refused" | "ambiguous";
/** A claim in a record. */
export type ClaimItem = ClaimsBody["claims"][number];
/** A release in a record. */
export type ReleaseItem = ClaimsBody["releases"][number];
/** An outcome in a record. */
export type OutcomeItem = ClaimsBody["outcomes"][number];

/** Writer of one partition. */
export interface ClaimWriter {
    /** Adds a claim to the next record. */
    claim(item: ClaimItem): Promise<BatchResult>;
    /** Adds a release, which is resent until it is decided. */
    release(item: ReleaseItem): void;
    /** Adds an outcome, which is resent until it is decided. */
    outcome(item: OutcomeItem): void;
    /** Number of claims whose record may still take effect; they were answered as unavailable. */
    undecided(): number;
    /** Number of releases and outcomes that are not decided. */
    pending(): number;
    stop(): void;
}

/** Options of a writer. */
export interface ClaimWriterOptions {
    readonly stream: Stream<ClaimsState, ClaimsBody>;
    /** Creates an id that is unique across daemons and restarts. */
    readonly nextId: () => string;
    readonly random: () => number;
    /** Called with the claims of a record whose append was ambiguous. */
    readonly onAmbiguous: (claims: readonly ClaimItem[]) => void;
}

/** How long a claim waits for others that share its record. */
const BATCH_MILLISECONDS = 10;
/** How long a claim waits for its decision before it is answered as unavailable; a refusal must be prompt. */
const CLAIM_TIMEOUT_MILLISECONDS = 750;
/** How long one resend of a record waits for its decision. */
const DECISION_TIMEOUT_MILLISECONDS = 2_000;
const RETRY_BASE_MILLISECONDS = 200;
const RETRY_MAXIMUM_MILLISECONDS = 5_000;

interface OpenBatch {
    readonly claims: { readonly item: ClaimItem; readonly settle: (result: BatchResult) => void; }[];
    readonly releases: ReleaseItem[];
    readonly outcomes: OutcomeItem[];
}

/** Creates the writer of a partition. */
export function createClaimWriter(options: ClaimWriterOptions): ClaimWriter {
    return new PartitionWriter(options);
}

class PartitionWriter implements ClaimWriter {
    private open: OpenBatch = { claims: [], releases: [], outcomes: [] };
    private timer: NodeJS.Timeout | undefined;
    private undecidedClaimCount = 0;
    private pendingItemCount = 0;
    private readonly stopped = new AbortController();

    constructor(private readonly options: ClaimWriterOptions) {}

    claim(item: ClaimItem): Promise<BatchResult> {
        return new Promise(settle => {
            this.open.claims.push({ item, settle });
            this.schedule(this.open.claims.length);
        });
    }

    release(item: ReleaseItem): void {
        this.pendingItemCount += 1;
        this.open.releases.push(item);
        this.schedule(this.open.releases.length);
    }

    outcome(item: OutcomeItem): void {
        this.pendingItemCount += 1;
        this.open.outcomes.push(item);
        this.schedule(this.open.outcomes.length);
    }

    undecided(): number {
        return this.undecidedClaimCount;
    }

    pending(): number {
        return this.pendingItemCount;
    }

    stop(): void {
        this.stopped.abort();
        clearTimeout(this.timer);
        this.open.claims.forEach(({ settle }) => settle("refused"));
        this.open.claims.length = 0;
    }

    private schedule(length: number): void {
        if (length >= MAXIMUM_CLAIMS_PER_RECORD) {
            this.flush();
        }
        else {
            this.timer ??= setTimeout(() => this.flush(), BATCH_MILLISECONDS);
        }
    }

    /** Claims and the other items get separate records, because releases and outcomes are resent after a refusal. */
    private flush(): void {
        const { claims, releases, outcomes } = this.open;
        this.open = { claims: [], releases: [], outcomes: [] };
        clearTimeout(this.timer);
        this.timer = undefined;
        if (claims.length > 0 && !this.stopped.signal.aborted) {
            void this.writeClaims(claims);
        }
        if (releases.length + outcomes.length > 0) {
            void this.writeUntilDecided({ kind: "claims", claims: [], releases, outcomes }).then(() => {
                this.pendingItemCount -= releases.length + outcomes.length;
            });
        }
    }

    private async writeClaims(claims: OpenBatch["claims"]): Promise<void> {
        const id = this.options.nextId();
        const items = claims.map(({ item }) => item);
        const body: ClaimsBody = { kind: "claims", claims: items, releases: [], outcomes: [] };
        const result = await this.options.stream.append(body, {
            id,
            timeoutMilliseconds: CLAIM_TIMEOUT_MILLISECONDS,
        });
        const kind = result.ok ? "decided" : result.val.kind;
        claims.forEach(({ settle }) => settle(kind));
        if (kind === "ambiguous") {
            this.undecidedClaimCount += items.length;
            this.options.onAmbiguous(items);
            await this.resendUntilDecided(id, body);
            this.undecidedClaimCount -= items.length;
            this.releaseHeld(items);
        }
    }

    /** A record is rejected if its basis is too old; its content can then be sent again safely in a new record. */
    private async writeUntilDecided(body: ClaimsBody): Promise<void> {
        for (let isStale = true; isStale && !this.stopped.signal.aborted;) {
            const id = this.options.nextId();
            await this.resendUntilDecided(id, body);
            isStale = this.options.stream.folded.current().decisions.get(id)?.issue?.code === "stale_basis";
        }
    }

    /** Resends a record with the same id until its decision is known. After that no copy can take effect. */
    private async resendUntilDecided(id: string, body: ClaimsBody): Promise<void> {
        const { stream, random } = this.options;
        for (let attempt = 0; !this.stopped.signal.aborted; attempt += 1) {
            const result = await stream.append(body, { id, timeoutMilliseconds: DECISION_TIMEOUT_MILLISECONDS });
            if (result.ok || stream.folded.current().decisions.has(id)) {
                return;
            }
            const delay = jitteredDelay(attempt, RETRY_BASE_MILLISECONDS, RETRY_MAXIMUM_MILLISECONDS, random());
            await sleep(delay, this.stopped.signal);
        }
    }

    private releaseHeld(items: readonly ClaimItem[]): void {
        const { state } = this.options.stream.folded.current();
        items
            .filter(({ claim, team, keyHash }) => state.get(team, keyHash)?.claim === claim)
            .forEach(({ claim, team, keyHash }) => this.release({ claim, team, keyHash }));
    }
}
