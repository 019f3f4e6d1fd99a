/** Keeps this daemon's requests to each target within its share of the rate that the target states. */
import {
    computeLimitShare,
    createRequestPacer,
    createTargetLimits,
    type DaemonLocation,
    type LimitShare,
    MINIMUM_REQUESTS_PER_SECOND,
    type RequestPacer,
    type StatedLimit,
    type Target,
} from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { RateStatement } from "../ports/relayprotocol.js";
import type { UnreadableStatements } from "./unreadablestatements.js";

/** The process of a target that a request was sent to, and when, in monotonic milliseconds. */
export interface SentRequest {
    readonly target: Pick<Target, "id" | "startedAt">;
    readonly sentAt: number;
}

/** Request rates of all targets. */
export interface TargetRates {
    /** Records what a response says about the rate of its target. */
    recordResponse(request: SentRequest, response: { readonly status: number; readonly rate: RateStatement; }): void;
    /** Records what another daemon knows about a target. */
    merge(limit: StatedLimit): void;
    /** Returns the milliseconds until this daemon may send a request to the target; 0 if it may send one now. */
    waitMilliseconds(target: Target): number;
    /** Records that a request is sent to the target. */
    recordSent(target: Target): void;
    /** Returns what is known about the rates of targets, for other daemons. */
    statements(): readonly StatedLimit[];
    /** Number of targets that limit their rate. */
    limitedTargets(): number;
    /** Registers a listener for statements of targets that change a rate; those of other daemons are not announced. */
    onChange(listener: (limit: StatedLimit) => void): void;
}

/** Collaborators of the rates. */
export interface TargetRatesParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly self: DaemonLocation;
    /** Other daemons that reported recently. */
    readonly reachableDaemons: () => readonly DaemonLocation[];
    /** Number of all daemons, including this one. */
    readonly knownDaemons: () => number;
    /** Returns whether a target is registered. */
    readonly isKnown: (target: string) => boolean;
    readonly unreadable: UnreadableStatements;
}

/** Pacer of a limited target, and the statement and time for which its share was computed. */
interface PacedTarget {
    readonly startedAt?: number;
    readonly statedRate: number;
    readonly share: LimitShare;
    readonly sharedAt: number;
    readonly pacer: RequestPacer;
}

const PRUNE_INTERVAL_MILLISECONDS = 5_000;
/** Shares follow the daemons that report, whose reports expire after seconds. */
const SHARE_INTERVAL_MILLISECONDS = 400;

/** Creates the rates. No target is limited at first. */
export function createTargetRates(parts: TargetRatesParts): TargetRates {
    return new TargetRatesTask(parts);
}

class TargetRatesTask implements TargetRates {
    private readonly limits = createTargetLimits();
    private readonly paced = new Map<string, PacedTarget>();
    private readonly listeners: ((limit: StatedLimit) => void)[] = [];
    private prunedAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly parts: TargetRatesParts) {}

    recordResponse(
        { target, sentAt }: SentRequest,
        { status, rate }: { readonly status: number; readonly rate: RateStatement; },
    ): void {
        if (rate.kind === "unreadable") {
            this.parts.unreadable.record("targetLimitUnreadable", target.id, rate.text);
            return;
        }
        const change = this.limits.observe({
            target: target.id,
            startedAt: target.startedAt,
            sentAt,
            succeeded: status >= 200 && status < 300,
            requestsPerSecond: rate.kind === "limited" ? rate.requestsPerSecond : undefined,
        }, this.parts.clock.monotonic());
        if (change !== undefined) {
            this.parts.log.emit("targetLimitChanged", { ...change, learnedFrom: "response", status });
            this.listeners.forEach(listener => listener(change));
        }
    }

    merge(limit: StatedLimit): void {
        const change = this.limits.merge(limit);
        if (change !== undefined) {
            this.parts.log.emit("targetLimitChanged", { ...change, learnedFrom: "daemon" });
        }
    }

    waitMilliseconds(target: Target): number {
        const paced = this.pace(target);
        if (paced === undefined) {
            return 0;
        }
        // A caller's retry may reach a holder, where a request is due after this time on average.
        const turnMilliseconds = 1_000 / Math.max(MINIMUM_REQUESTS_PER_SECOND, paced.statedRate);
        const wait = paced.pacer.waitMilliseconds(this.parts.clock.monotonic());
        return Number.isFinite(wait) ? wait : turnMilliseconds;
    }

    recordSent(target: Target): void {
        this.pace(target)?.pacer.recordSent(this.parts.clock.monotonic());
    }

    statements(): readonly StatedLimit[] {
        this.prune(this.parts.clock.monotonic());
        return this.limits.statements();
    }

    limitedTargets(): number {
        return this.limits.statements().filter(({ requestsPerSecond }) => requestsPerSecond !== undefined).length;
    }

    onChange(listener: (limit: StatedLimit) => void): void {
        this.listeners.push(listener);
    }

    /** Returns the pacer of a target with an up-to-date share, or `undefined` if the target is not limited. */
    private pace(target: Target): PacedTarget | undefined {
        const statedRate = this.limits.rateOf(target.id, target.startedAt);
        if (statedRate === undefined) {
            this.paced.delete(target.id);
            return undefined;
        }
        const now = this.parts.clock.monotonic();
        const known = this.paced.get(target.id);
        const current = known?.startedAt === target.startedAt ? known : undefined;
        if (current?.statedRate === statedRate && now - current.sharedAt < SHARE_INTERVAL_MILLISECONDS) {
            return current;
        }
        const share = this.shareOf(target, statedRate);
        const pacer = current?.pacer ?? createRequestPacer(share, now);
        pacer.configure(share, now);
        const paced: PacedTarget = { startedAt: target.startedAt, statedRate, share, sharedAt: now, pacer };
        this.paced.set(target.id, paced);
        if (share.requestsPerSecond !== current?.share.requestsPerSecond) {
            this.logShare(target, statedRate, share);
        }
        return paced;
    }

    private shareOf(target: Target, requestsPerSecond: number): LimitShare {
        const { self, reachableDaemons, knownDaemons } = this.parts;
        return computeLimitShare({
            target,
            requestsPerSecond,
            self,
            reachable: reachableDaemons(),
            knownDaemons: knownDaemons(),
        });
    }

    private logShare(target: Target, statedRate: number, { requestsPerSecond }: LimitShare): void {
        this.parts.log.emit("targetShareChanged", {
            target: target.id,
            statedRequestsPerSecond: statedRate,
            requestsPerSecond,
            reachableDaemons: this.parts.reachableDaemons().length + 1,
            knownDaemons: this.parts.knownDaemons(),
        });
    }

    private prune(now: number): void {
        if (now - this.prunedAt < PRUNE_INTERVAL_MILLISECONDS) {
            return;
        }
        this.prunedAt = now;
        const { isKnown } = this.parts;
        this.limits.prune(isKnown, now);
        [...this.paced.keys()].filter(target => !isKnown(target)).forEach(target => this.paced.delete(target));
    }
}
