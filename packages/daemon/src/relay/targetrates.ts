/** Keeps this daemon's requests to a target within the rate that the target states. */
import { createTargetLimits, type StatedLimit, type Target } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { RateStatement } from "../ports/relayprotocol.js";

/** The process of a target that a request was sent to, and when, in monotonic milliseconds. */
export interface SentRequest {
    readonly target: Pick<Target, "id" | "startedAt">;
    readonly sentAt: number;
}

/** Request rates of all targets. */
export interface TargetRates {
    /** Records what a response says about the rate of its target. */
    recordResponse(request: SentRequest, response: { readonly status: number; readonly rate: RateStatement; }): void;
    /** Returns the limits in force. */
    limits(): readonly StatedLimit[];
}

/** Collaborators of the rates. */
export interface TargetRatesParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly isKnown: (target: string) => boolean;
}

const PRUNE_INTERVAL_MILLISECONDS = 5_000;

/** Creates the rates. No target is limited at first. */
export function createTargetRates(parts: TargetRatesParts): TargetRates {
    return new TargetRatesTask(parts);
}

class TargetRatesTask implements TargetRates {
    private readonly statedLimits = createTargetLimits();
    /** Unreadable statements that were logged, by target. */
    private readonly unreadable = new Map<string, string>();

    constructor(private readonly parts: TargetRatesParts) {
        setInterval(() => this.prune(), PRUNE_INTERVAL_MILLISECONDS).unref();
    }

    recordResponse(
        { target, sentAt }: SentRequest,
        { status, rate }: { readonly status: number; readonly rate: RateStatement; },
    ): void {
        if (rate.kind === "unreadable") {
            this.logUnreadable(target.id, rate.text);
            return;
        }
        const change = this.statedLimits.observe({
            target: target.id,
            startedAt: target.startedAt,
            sentAt,
            succeeded: status >= 200 && status < 300,
            requestsPerSecond: rate.kind === "limited" ? rate.requestsPerSecond : undefined,
        }, this.parts.clock.monotonic());
        if (change !== undefined) {
            this.parts.log.emit("targetLimitChanged", { ...change, status });
        }
    }

    limits(): readonly StatedLimit[] {
        return this.statedLimits.statements().filter(({ requestsPerSecond }) => requestsPerSecond !== undefined);
    }

    private logUnreadable(target: string, text: string): void {
        if (this.unreadable.get(target) !== text) {
            this.unreadable.set(target, text);
            this.parts.log.emit("targetLimitUnreadable", { target, text });
        }
    }

    private prune(): void {
        this.statedLimits.prune(this.parts.isKnown, this.parts.clock.monotonic());
        [...this.unreadable.keys()].filter(target => !this.parts.isKnown(target))
            .forEach(target => this.unreadable.delete(target));
    }
}
