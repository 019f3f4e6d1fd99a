/** Work that callers ask for, by model, so that groups are formed for what is wanted now. */
import { decodeStepMilliseconds, prefillMilliseconds } from "../placement/place.js";
import type { EngineProfile, ModelProfile } from "../routes/types.js";

/** Meter of one service. */
export interface DemandMeter {
    /** Notes a request, whether it is served or refused. `work` is the time that it takes a group, in milliseconds. */
    record(model: string, work: number, now: number): void;
    /** Work for each model relative to the others. Until enough requests were seen, the configured shares count, too. */
    demandByModel(models: readonly ModelProfile[], now: number): ReadonlyMap<string, number>;
}

/** Tokens of one request. */
export interface RequestTokens {
    readonly prompt: number;
    readonly answer: number;
}

/** Older requests count less; after this time, a third. */
const MEMORY_MILLISECONDS = 10_000;
/** Requests for which the configured shares stand. */
const PRIOR_REQUESTS = 10;

/** Time for which a request takes a group, in milliseconds: its reading, and its part of the token steps of a full group. */
export function requestWorkMilliseconds(engine: EngineProfile, model: ModelProfile, tokens: RequestTokens): number {
    const perToken = decodeStepMilliseconds(engine, model, engine.slots) / engine.slots;
    return prefillMilliseconds(engine, model, tokens.prompt) + perToken * tokens.answer;
}

/** Makes a meter that has seen nothing. */
export function createDemandMeter(): DemandMeter {
    const work = new Map<string, number>();
    let requests = 0;
    let countedAt = 0;

    const forget = (now: number): void => {
        const rest = Math.exp((countedAt - now) / MEMORY_MILLISECONDS);
        requests *= rest;
        work.forEach((amount, model) => work.set(model, amount * rest));
        countedAt = now;
    };
    return {
        record: (model, amount, now) => {
            forget(now);
            requests += 1;
            work.set(model, (work.get(model) ?? 0) + amount);
        },
        demandByModel: (models, now) => {
            forget(now);
            const total = models.reduce((sum, { name }) => sum + (work.get(name) ?? 0), 0);
            const usual = requests === 0 || total === 0 ? 1 : total / requests;
            // The configured shares are shares of the hosts, while demand is met by groups.
            const groupShares = models.reduce((sum, { share, size }) => sum + share / size, 0);
            const prior = ({ share, size }: ModelProfile): number =>
                PRIOR_REQUESTS * usual * share / size / groupShares;
            return new Map(models.map(model => [model.name, (work.get(model.name) ?? 0) + prior(model)]));
        },
    };
}
