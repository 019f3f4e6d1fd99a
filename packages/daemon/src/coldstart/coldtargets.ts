/**
 * Keeps this daemon's requests to each cold target within its share of the rate that the service states for cold targets, and lets
 * them rise after a target turned warm.
 */
import {
    type ColdPacer,
    type ColdStart,
    type ColdStartTolerance,
    computeColdShare,
    createColdPacer,
    createWarmUp,
    groupBy,
    SLOW_START_MILLISECONDS,
    type Target,
    type WarmUpChange,
} from "@damaskvale/core";
import type { EvacuationState } from "../evacuation/evacuationstate.js";
import type { DaemonList } from "../peers/daemonlist.js";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { DaemonPresence } from "../ports/presence.js";
import type { RelayState } from "../relay/statetypes.js";
import { startTimer } from "../relay/timers.js";

/** Cold targets. */
export interface ColdTargets {
    /** Returns the milliseconds until this daemon may send a request to the target; 0 if it may send one now. */
    waitMilliseconds(target: Target): number;
    /** Records that a request is sent to the target. */
    recordSent(target: Target): void;
    /** Records that targets, the configuration or evacuations changed. */
    update(): void;
    /** Number of cold targets. */
    count(): number;
    /** Registers a listener that is called with the id of a target under which another process runs than before. */
    onRestarted(listener: (target: string) => void): void;
}

/** Collaborators of the cold targets. */
export interface ColdTargetsParts {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Name of this daemon. */
    readonly self: string;
    /** Absent if cold targets are not limited. */
    readonly tolerance?: ColdStartTolerance;
    readonly daemons: Pick<DaemonList, "all" | "readAt">;
    readonly state: Pick<RelayState, "targets" | "targetById" | "lookup">;
    readonly evacuations: Pick<EvacuationState, "endedAt">;
}

/** A target that is cold, or whose load rises after it was. */
interface PacedTarget {
    readonly service: string;
    coldStart: ColdStart;
    coldUntil: number;
    isLoggedWarm: boolean;
    /** Created when a request first considers the target, with what its share was computed from. */
    paced?: {
        readonly pacer: ColdPacer;
        readonly coldStart: ColdStart;
        readonly daemons: readonly DaemonPresence[];
    };
}

/** What a target was last observed with. */
interface ObservedTarget {
    readonly target: Target;
    readonly coldStart: ColdStart;
    readonly evacuationEndedAt?: number;
}

/**
 * A daemon that has just read the names of the others sends nothing to cold targets for this time, in which daemons that start
 * together with it announce themselves.
 */
const SETTLE_MILLISECONDS = 1_000;
const PRUNE_INTERVAL_MILLISECONDS = 5_000;
/** Timers may end up to a millisecond early. */
const TIMER_MARGIN_MILLISECONDS = 2;
const NO_DAEMONS: readonly DaemonPresence[] = [];

/** Without a tolerance, no target is limited. */
const unlimitedTargets: ColdTargets = {
    waitMilliseconds: () => 0,
    recordSent: () => undefined,
    update: () => undefined,
    count: () => 0,
    onRestarted: () => undefined,
};

/** Creates the record of a daemon that knows no target. */
export function createColdTargets(parts: ColdTargetsParts): ColdTargets {
    return parts.tolerance === undefined ? unlimitedTargets : new ColdTargetsTask(parts, parts.tolerance);
}

class ColdTargetsTask implements ColdTargets {
    private readonly warmUp = createWarmUp();
    private readonly observed = new Map<string, ObservedTarget>();
    private readonly paced = new Map<string, PacedTarget>();
    private readonly listeners: ((target: string) => void)[] = [];
    private prunedAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly parts: ColdTargetsParts, private readonly tolerance: ColdStartTolerance) {}

    waitMilliseconds({ id }: Target): number {
        const target = this.paced.size === 0 ? undefined : this.paced.get(id);
        if (target === undefined) {
            return 0;
        }
        const now = this.now();
        const wait = this.pacerOf(id, target, now).waitMilliseconds(now);
        // A caller's retry may reach a holder, where a request is due after this time on average.
        return Number.isFinite(wait) ? wait : 1_000 / target.coldStart.requestsPerSecond;
    }

    recordSent({ id }: Target): void {
        const target = this.paced.size === 0 ? undefined : this.paced.get(id);
        if (target !== undefined) {
            const now = this.now();
            this.pacerOf(id, target, now).recordSent(now);
        }
    }

    update(): void {
        const services = this.parts.state.lookup()?.configuration.services ?? [];
        const coldStarts = new Map(services.flatMap(({ name, coldStart }) => coldStart ? [[name, coldStart]] : []));
        const now = this.now();
        if (coldStarts.size > 0) {
            this.logCold(
                this.parts.state.targets().flatMap(target => {
                    const coldStart = coldStarts.get(target.service);
                    return coldStart === undefined ? [] : this.observe(target, coldStart, now);
                }),
                now,
            );
        }
        // A target that is removed meanwhile stays as cold as it was, since the same process may return.
        [...this.paced].filter(([, { service }]) => !coldStarts.has(service)).forEach(([id]) => this.paced.delete(id));
        this.prune(now);
    }

    count(): number {
        const now = this.now();
        return [...this.paced.values()].filter(({ coldUntil }) => coldUntil > now).length;
    }

    onRestarted(listener: (target: string) => void): void {
        this.listeners.push(listener);
    }

    private now(): number {
        return this.parts.clock.monotonic();
    }

    /** Records the state of a target; returns the change if it is now cold for another time than before. */
    private observe(target: Target, coldStart: ColdStart, now: number): WarmUpChange[] {
        const evacuationEndedAt = this.parts.evacuations.endedAt(target.dataCentre);
        const before = this.observed.get(target.id);
        if (
            before?.target === target && before.coldStart === coldStart
            && before.evacuationEndedAt === evacuationEndedAt
        ) {
            return [];
        }
        this.observed.set(target.id, { target, coldStart, evacuationEndedAt });
        const paced = this.paced.get(target.id);
        if (paced !== undefined) {
            paced.coldStart = coldStart;
        }
        const { id, startedAt, entryNumber, coldMilliseconds } = target;
        if (this.warmUp.isRestarted(id, startedAt)) {
            this.listeners.forEach(listener => listener(id));
        }
        const change = this.warmUp.observe(
            { target: id, startedAt, entryNumber, coldMilliseconds, evacuationEndedAt },
            coldStart.milliseconds,
            now,
        );
        const coldUntil = this.warmUp.coldUntil(id) ?? now;
        if (change !== undefined || paced === undefined && coldUntil > now) {
            const wasCold = change === undefined || change.wasCold;
            this.pace({ target: id, coldUntil, wasCold }, { coldStart, service: target.service });
        }
        return change === undefined ? [] : [change];
    }

    private pace(
        { target: id, coldUntil, wasCold }: Pick<WarmUpChange, "target" | "coldUntil" | "wasCold">,
        fields: Pick<PacedTarget, "coldStart" | "service">,
    ): void {
        const target = (wasCold ? this.paced.get(id) : undefined) ?? { ...fields, coldUntil, isLoggedWarm: false };
        target.coldUntil = coldUntil;
        target.paced?.pacer.setColdUntil(coldUntil);
        this.paced.set(id, target);
        const coldMilliseconds = Math.max(0, coldUntil - this.now());
        [coldMilliseconds, coldMilliseconds + SLOW_START_MILLISECONDS].forEach(milliseconds =>
            startTimer(() => this.release(), milliseconds + TIMER_MARGIN_MILLISECONDS).unref()
        );
    }

    /** Returns the pacer of a target with an up-to-date share. */
    private pacerOf(id: string, target: PacedTarget, now: number): ColdPacer {
        const daemons = this.settledDaemons(now);
        const { coldStart, coldUntil, paced } = target;
        if (paced?.daemons === daemons && paced.coldStart === coldStart) {
            return paced.pacer;
        }
        const share = computeColdShare({
            target: id,
            requestsPerSecond: coldStart.requestsPerSecond,
            tolerance: this.tolerance,
            self: this.parts.self,
            knownDaemons: daemons.map(({ daemon }) => daemon),
        });
        const pacer = paced?.pacer ?? createColdPacer(share, coldUntil, now);
        pacer.configure(share);
        target.paced = { pacer, daemons, coldStart };
        return pacer;
    }

    /** Returns all known daemons; none until this daemon knows those that started with it. */
    private settledDaemons(now: number): readonly DaemonPresence[] {
        const readAt = this.parts.daemons.readAt();
        return readAt === undefined || now - readAt < SETTLE_MILLISECONDS ? NO_DAEMONS : this.parts.daemons.all();
    }

    /** Logs the targets that turned warm, and drops those whose load has risen. */
    private release(): void {
        const now = this.now();
        const warm = [...this.paced].filter(([, { coldUntil }]) => coldUntil <= now);
        const turned = warm.filter(([, { isLoggedWarm }]) => !isLoggedWarm);
        if (turned.length > 0) {
            turned.forEach(([, target]) => {
                target.isLoggedWarm = true;
            });
            this.parts.log.emit("targetsTurnedWarm", { count: turned.length, targets: turned.map(([id]) => id) });
        }
        warm.filter(([, { coldUntil }]) => now - coldUntil >= SLOW_START_MILLISECONDS)
            .forEach(([id]) => this.paced.delete(id));
    }

    /** Logs the targets that were warm until now, together for each reason. */
    private logCold(changes: readonly WarmUpChange[], now: number): void {
        const turned = changes.filter(({ wasCold, coldUntil }) => !wasCold && coldUntil > now);
        groupBy(turned, ({ reason }) => reason).forEach((group, reason) =>
            this.parts.log.emit("targetsTurnedCold", {
                reason,
                count: group.length,
                targets: group.map(({ target }) => target),
                milliseconds: Math.round(Math.max(...group.map(({ coldUntil }) => coldUntil - now))),
            })
        );
    }

    private prune(now: number): void {
        if (now - this.prunedAt < PRUNE_INTERVAL_MILLISECONDS) {
            return;
        }
        this.prunedAt = now;
        const isKnown = (target: string): boolean => this.parts.state.targetById(target) !== undefined;
        this.warmUp.prune(isKnown, now);
        [...this.observed.keys()].filter(target => !isKnown(target)).forEach(target => this.observed.delete(target));
    }
}
