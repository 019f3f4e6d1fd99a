/** Load of the groups of one model as one daemon sees it: requests in progress, how fast they rise, and who asks. */
import { clampPriority, PRIORITY_COUNT } from "./priorities.js";

/** Capacity of the groups of a model, as far as it is known. */
export interface ModelCapacity {
    /** Slots of the groups that serve. */
    readonly slots: number;
    /** Requests in progress at them. */
    readonly inProgress: number;
    /** Time for which a request of mean length occupies a slot, in milliseconds. */
    readonly slotMilliseconds: number;
}

/** Demand and capacity of the model within the horizon, in requests of all daemons. */
export interface LoadForecast {
    readonly capacity: number;
    readonly demand: readonly number[];
    /** Slots that become free in a second. */
    readonly freedPerSecond: number;
    /** Requests that arrive in a second. */
    readonly arrivingPerSecond: number;
}

/** Observed load. Times are monotonic milliseconds. */
export interface ModelLoad {
    /** Records a first attempt, whether or not it is admitted. */
    recordArrival(priority: number, now: number): void;
    /** Records whether a request was admitted. */
    recordDecision(admitted: boolean, now: number): void;
    /** Returns what is expected within the horizon. */
    forecast(capacity: ModelCapacity, now: number): LoadForecast;
}

/** Half of the arrivals and decisions of this daemon are forgotten after this time. */
const MIX_HALF_LIFE_MILLISECONDS = 8_000;
const DECISION_HALF_LIFE_MILLISECONDS = 1_000;
/** The rise of the load is measured over this time: with less, ordinary variation looks like a rise. */
const RISE_WINDOW_MILLISECONDS = 500;
const LEAST_RISE_WINDOW_MILLISECONDS = 250;
/** Loads of other daemons are up to this old; what arrives and ends meanwhile is not known yet. */
export const HORIZON_MILLISECONDS = 480;
/**
 * Share of the slots that can be used: daemons that choose from loads of this age fill some groups while others have free
 * slots, and a request that waits in an engine for a slot is late.
 */
const USABLE_SHARE = 0.85;
/** A rise faster than this many times the ends is an effect of what is newly known, not of arrivals. */
const MOST_RISE = 2;
/** Loads of other daemons arrive in steps of up to this time, and small loads vary by some requests. */
const STEP_MILLISECONDS = 240;
const VARIATION_REQUESTS = 12;
/** Number of admitted requests with which the share of the admitted begins. */
const PRIOR_DECISIONS = 2;
const LEAST_ADMITTED_SHARE = 0.3;

/** Creates the load of a model without requests. */
export function createModelLoad(): ModelLoad {
    return new ObservedModelLoad();
}

class ObservedModelLoad implements ModelLoad {
    private readonly mix = Array.from({ length: PRIORITY_COUNT }, () => 0);
    private mixedAt = 0;
    private admitted = 0;
    private decided = 0;
    private decidedAt = 0;
    private samples: { readonly at: number; readonly inProgress: number; readonly slots: number; }[] = [];

    recordArrival(priority: number, now: number): void {
        const factor = 0.5 ** ((now - this.mixedAt) / MIX_HALF_LIFE_MILLISECONDS);
        this.mix.forEach((count, index) => {
            this.mix[index] = count * factor;
        });
        const index = clampPriority(priority);
        this.mix[index] = (this.mix[index] ?? 0) + 1;
        this.mixedAt = now;
    }

    recordDecision(admitted: boolean, now: number): void {
        const factor = 0.5 ** ((now - this.decidedAt) / DECISION_HALF_LIFE_MILLISECONDS);
        this.admitted = this.admitted * factor + (admitted ? 1 : 0);
        this.decided = this.decided * factor + 1;
        this.decidedAt = now;
    }

    forecast(known: ModelCapacity, now: number): LoadForecast {
        const { slots, inProgress, slotMilliseconds } = known;
        const freedPerSecond = inProgress / slotMilliseconds * 1_000;
        const risePerSecond = this.riseOf(known, now);
        const admittedPerSecond = Math.min(
            (1 + MOST_RISE) * freedPerSecond,
            Math.max(0, freedPerSecond + risePerSecond),
        );
        const arrivingPerSecond = admittedPerSecond / this.admittedShare(now);
        const seconds = HORIZON_MILLISECONDS / 1_000;
        const total = this.mix.reduce((sum, count) => sum + count, 0);
        return {
            capacity: USABLE_SHARE * slots - inProgress + freedPerSecond * seconds,
            demand: this.mix.map(count => total > 0 ? arrivingPerSecond * seconds * count / total : 0),
            freedPerSecond,
            arrivingPerSecond,
        };
    }

    /** Share of the requests that this daemon admitted lately. */
    private admittedShare(now: number): number {
        const factor = 0.5 ** ((now - this.decidedAt) / DECISION_HALF_LIFE_MILLISECONDS);
        const share = (this.admitted * factor + PRIOR_DECISIONS) / (this.decided * factor + PRIOR_DECISIONS);
        return Math.max(LEAST_ADMITTED_SHARE, share);
    }

    /** Returns by how much the requests in progress rise in a second; 0 after a change of the groups or of what is known. */
    private riseOf({ slots, inProgress, slotMilliseconds }: ModelCapacity, now: number): number {
        const last = this.samples.at(-1);
        if (last !== undefined) {
            // A daemon that starts, or hears others again, learns of requests that did not just arrive.
            const rate = (MOST_RISE + 1) * Math.min(last.inProgress, inProgress) / slotMilliseconds;
            const mostChange = VARIATION_REQUESTS + rate * (now - last.at + STEP_MILLISECONDS);
            const isContinuous = Math.abs(inProgress - last.inProgress) <= mostChange;
            this.samples = this.samples.filter(sample =>
                isContinuous && sample.slots === slots && now - sample.at < RISE_WINDOW_MILLISECONDS
            );
        }
        const oldest = this.samples[0];
        this.samples.push({ at: now, inProgress, slots });
        return oldest === undefined || now - oldest.at < LEAST_RISE_WINDOW_MILLISECONDS
            ? 0
            : (inProgress - oldest.inProgress) / (now - oldest.at) * 1_000;
    }
}
