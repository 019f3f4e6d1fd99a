/** Measures the work that callers request of each model, so that the planner forms groups for the current demand. */
import { decodeStepMilliseconds, prefillMilliseconds } from "../placement/place.js";
import type { EngineProfile, ModelProfile } from "../routes/types.js";

/** Meter of one service. `now` is in monotonic milliseconds. */
export interface DemandMeter {
    /** Records a request, whether it is served or refused, with the time for which it occupies a group. */
    record(model: string, workMilliseconds: number, now: number): void;
    /** Returns the work of each model relative to the others. Few requests are blended with the configured shares. */
    demandByModel(models: readonly ModelProfile[], now: number): ReadonlyMap<string, number>;
    /** Returns the models that callers requested recently and more than once, whatever the configured shares are. */
    requestedModels(now: number): ReadonlySet<string>;
}

/** Prompt and output tokens of one request. */
export interface RequestTokens {
    readonly prompt: number;
    readonly answer: number;
}

/** Time constant of the exponential decay: after this time, a request counts about a third. */
const DECAY_MILLISECONDS = 10_000;
/** Weight of the configured shares, as a number of requests. */
const PRIOR_WEIGHT_REQUESTS = 10;
/** Least decayed number of requests of a model that callers request; a single request never reaches it for long. */
const MINIMUM_REQUESTS = 1;

/** Returns the time that a request occupies a group: its prefill and its part of the decode steps of a full group. */
export function requestWorkMilliseconds(engine: EngineProfile, model: ModelProfile, tokens: RequestTokens): number {
    const perToken = decodeStepMilliseconds(engine, model, engine.slots) / engine.slots;
    return prefillMilliseconds(engine, model, tokens.prompt) + perToken * tokens.answer;
}

/** Creates a meter without requests. */
export function createDemandMeter(): DemandMeter {
    const workByModel = new Map<string, number>();
    const requestsByModel = new Map<string, number>();
    let requests = 0;
    let decayedAt = 0;

    const decay = (now: number): void => {
        const factor = Math.exp((decayedAt - now) / DECAY_MILLISECONDS);
        requests *= factor;
        workByModel.forEach((amount, model) => workByModel.set(model, amount * factor));
        requestsByModel.forEach((count, model) => requestsByModel.set(model, count * factor));
        decayedAt = now;
    };
    return {
        record: (model, workMilliseconds, now) => {
            decay(now);
            requests += 1;
            workByModel.set(model, (workByModel.get(model) ?? 0) + workMilliseconds);
            requestsByModel.set(model, (requestsByModel.get(model) ?? 0) + 1);
        },
        requestedModels: now => {
            decay(now);
            return new Set(
                [...requestsByModel].filter(([, count]) => count >= MINIMUM_REQUESTS).map(([model]) => model),
            );
        },
        demandByModel: (models, now) => {
            decay(now);
            const total = models.reduce((sum, { name }) => sum + (workByModel.get(name) ?? 0), 0);
            const meanWork = requests === 0 || total === 0 ? 1 : total / requests;
            // The configured shares are shares of the hosts; dividing by the group size gives shares of the groups.
            const groupShares = models.reduce((sum, { share, size }) => sum + share / size, 0);
            const priorWork = ({ share, size }: ModelProfile): number =>
                PRIOR_WEIGHT_REQUESTS * meanWork * share / size / groupShares;
            return new Map(models.map(model => [model.name, (workByModel.get(model.name) ?? 0) + priorWork(model)]));
        },
    };
}
