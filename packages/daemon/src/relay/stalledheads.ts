/**
 * Ends the suspicion of a stalled head as soon as it goes on. The streams of such a head are moved to other groups, so that
 * nothing would show its progress; their connections to it therefore stay open until it sends an event on one of them.
 */
import type { LoadTracker } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { RequestContext } from "./requestcontext.js";
import { SUSPICION_MILLISECONDS } from "./stalldetector.js";
import type { StreamAttempt } from "./streamattempt.js";
import type { ResponseReceiver } from "./targetconnections.js";
import { startTimer } from "./timers.js";

/** Collaborators of {@link createStalledHeads}. */
export interface StalledHeadsParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly loadTracker: LoadTracker;
}

/** Attempts at stalled heads whose streams were moved. */
export interface StalledHeads {
    /** Returns a receiver that gets nothing of the attempt while it is kept; an event then shows that its head goes on. */
    receiverOf(attempt: StreamAttempt, receiver: ResponseReceiver): ResponseReceiver;
    /** Keeps the exchange of a released attempt until its head goes on or the suspicion ends. */
    keep(context: RequestContext, attempt: StreamAttempt): void;
    /** Cancels the exchanges that are kept for a request, because it has ended. */
    release(context: RequestContext): void;
}

interface KeptAttempt {
    readonly context: RequestContext;
    readonly attempt: StreamAttempt;
    /** Monotonic milliseconds. */
    readonly keptAt: number;
    readonly expiry: NodeJS.Timeout;
}

/** Creates the collection without attempts. */
export function createStalledHeads(parts: StalledHeadsParts): StalledHeads {
    return new StalledHeadsTask(parts);
}

class StalledHeadsTask implements StalledHeads {
    private readonly kept = new Map<StreamAttempt, KeptAttempt>();

    constructor(private readonly parts: StalledHeadsParts) {}

    receiverOf(attempt: StreamAttempt, receiver: ResponseReceiver): ResponseReceiver {
        const unlessKept = (step: () => void): void => {
            if (!this.kept.has(attempt)) {
                step();
            }
        };
        return {
            sent: () => unlessKept(() => receiver.sent()),
            head: head => unlessKept(() => receiver.head(head)),
            data: chunk => {
                const kept = this.kept.get(attempt);
                return kept === undefined ? receiver.data(chunk) : this.receive(kept, chunk);
            },
            ended: () => this.kept.has(attempt) ? this.drop(attempt) : receiver.ended(),
            failed: error => this.kept.has(attempt) ? this.drop(attempt) : receiver.failed(error),
        };
    }

    keep(context: RequestContext, attempt: StreamAttempt): void {
        if (!attempt.written) {
            attempt.exchange?.cancel();
            return;
        }
        const expiry = startTimer(() => this.drop(attempt), SUSPICION_MILLISECONDS).unref();
        this.kept.set(attempt, { context, attempt, keptAt: this.parts.clock.monotonic(), expiry });
        attempt.exchange?.resume();
    }

    release(context: RequestContext): void {
        [...this.kept.values()].filter(kept => kept.context === context).forEach(({ attempt }) => this.drop(attempt));
    }

    /** Comments do not count: a head can send them although its group stands still. */
    private receive(kept: KeptAttempt, chunk: Buffer): void {
        const { splitter } = kept.attempt;
        if (splitter.push(chunk).some(({ hasContent }) => hasContent)) {
            this.recover(kept);
        }
        else if (splitter.isOversized()) {
            this.drop(kept.attempt);
        }
    }

    private recover({ attempt: { head }, keptAt }: KeptAttempt): void {
        const { clock, log, loadTracker } = this.parts;
        if (loadTracker.get(head)?.suspectedAt !== undefined) {
            loadTracker.clear(head);
            log.emit("headRecovered", { target: head, milliseconds: Math.round(clock.monotonic() - keptAt) });
        }
        [...this.kept.keys()].filter(attempt => attempt.head === head).forEach(attempt => this.drop(attempt));
    }

    private drop(attempt: StreamAttempt): void {
        clearTimeout(this.kept.get(attempt)?.expiry);
        this.kept.delete(attempt);
        attempt.exchange?.cancel();
    }
}
