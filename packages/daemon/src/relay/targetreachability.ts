/** Finds out whether this daemon reaches any target: by what requests meet, and by probes while they meet failures only. */
import { createReachability, type Target } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { RelayState } from "./statetypes.js";

/** Whether this daemon reaches targets, as the request path reports and asks. */
export interface TargetReachability {
    /** Records bytes from a target. */
    recordReached(): void;
    /** Records a target that did not accept a connection, lost one or fell silent. */
    recordMissed(target: string): void;
    /** Whether this daemon reaches no target. */
    isCutOff(): boolean;
    /** Whether it may be cut off, so that what it observes may say nothing about targets. */
    isDoubtful(): boolean;
    /** Registers a listener that is called when this daemon is cut off, and when it reaches targets again. */
    onChange(listener: ReachabilityListener): void;
    stop(): void;
}

/** Called with whether this daemon is cut off, and how long the state that ended has lasted. */
export type ReachabilityListener = (isCutOff: boolean, lastedMilliseconds: number) => void;

/** Collaborators of the reachability. */
export interface TargetReachabilityParts {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Targets that may be probed. */
    readonly targets: () => readonly Target[];
    /** Resolves to whether a target answered. */
    readonly probe: (target: Target) => Promise<boolean>;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
}

const PROBE_INTERVAL_MILLISECONDS = 250;
const PROBES_AT_ONCE = 2;
/** Silence of all targets after which failures of some are no longer put down to these alone. */
const DOUBT_MILLISECONDS = 250;

/** Starts without any doubt. */
export function startTargetReachability(parts: TargetReachabilityParts): TargetReachability {
    return new TargetReachabilityTask(parts);
}

/** Returns the targets whose answers show whether this daemon reaches any to which it may send requests. */
export function targetsToProbe(state: Pick<RelayState, "targets" | "isEvacuated">): readonly Target[] {
    const registered = state.targets().filter(target => target.registered && !target.draining);
    const inUse = registered.filter(({ dataCentre }) => !state.isEvacuated(dataCentre));
    const probed = inUse.length > 0 ? inUse : registered;
    // The report of an engine proves more than an accepted connection, behind which nothing may answer.
    const hosts = probed.filter(({ domain }) => domain !== undefined);
    return hosts.length > 0 ? hosts : probed;
}

class TargetReachabilityTask implements TargetReachability {
    private readonly belief;
    private readonly listeners: ReachabilityListener[] = [];
    private wasCutOff = false;
    private changedAt: number;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly parts: TargetReachabilityParts) {
        this.belief = createReachability(() => parts.targets().length);
        this.changedAt = parts.clock.monotonic();
        this.timer = setInterval(() => this.probeIfDoubtful(), PROBE_INTERVAL_MILLISECONDS).unref();
    }

    recordReached(): void {
        const isNews = this.belief.recordReached(this.parts.clock.monotonic());
        if (isNews) {
            this.announceChange();
        }
    }

    recordMissed(target: string): void {
        this.belief.recordMissed(target);
        this.announceChange();
    }

    isCutOff(): boolean {
        return this.wasCutOff;
    }

    isDoubtful(): boolean {
        return this.wasCutOff || this.belief.isDoubtful(DOUBT_MILLISECONDS, this.parts.clock.monotonic());
    }

    onChange(listener: ReachabilityListener): void {
        this.listeners.push(listener);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private probeIfDoubtful(): void {
        if (!this.isDoubtful()) {
            return;
        }
        const targets = this.parts.targets();
        const first = Math.floor(this.parts.random() * targets.length);
        [...targets.slice(first), ...targets.slice(0, first)].slice(0, PROBES_AT_ONCE)
            .forEach(target => this.probe(target));
    }

    private probe(target: Target): void {
        this.parts.probe(target)
            .then(hasAnswered => hasAnswered ? this.recordReached() : this.recordMissed(target.id))
            .catch((error: unknown) => this.parts.log.emit("taskFailed", { task: "probe of a target", error }));
    }

    private announceChange(): void {
        const isCutOff = this.belief.isCutOff();
        if (isCutOff !== this.wasCutOff) {
            const now = this.parts.clock.monotonic();
            const lastedMilliseconds = Math.round(now - this.changedAt);
            this.wasCutOff = isCutOff;
            this.changedAt = now;
            this.parts.log.emit(isCutOff ? "targetsUnreachable" : "targetsReachable", { lastedMilliseconds });
            this.listeners.forEach(listener => listener(isCutOff, lastedMilliseconds));
        }
    }
}
