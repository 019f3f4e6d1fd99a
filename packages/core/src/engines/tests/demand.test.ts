/** Groups are formed for the measured demand, not only for the configured shares. */
import { expect } from "chai";
import type { EngineProfile, ModelProfile } from "../../routes/types.js";
import { createDemandMeter, requestWorkMilliseconds } from "../demand.js";
import { chooseGroupCounts } from "../groupcounts.js";

const model = (name: string, size: number, pace = 1): ModelProfile => ({
    name,
    size,
    pace,
    share: 0.5,
    loadMilliseconds: 16_000,
    warmMilliseconds: 1_600,
});
const models = [model("large", 12), model("small", 6, 0.6)];
const engine: EngineProfile = {
    slots: 34,
    kvCacheTokens: 1_700_000,
    stepsPerPass: 5,
    models,
    baseStepMilliseconds: 6.45,
    stepMillisecondsPerSequence: 0.0967,
    stepMillisecondsPerThousandContextTokens: 0.003,
    prefillTokensPerSecond: 56_100,
    prefillMillisecondsPerMillionPairs: 0.309,
    prefillChunkTokens: 2_048,
    meanPromptTokens: 1_000,
    meanOutputTokens: 150,
    loadsPerSecond: 14,
    concurrentLoads: 20,
    openMilliseconds: 300,
};

describe("demand by model", () => {
    it("follows the configured shares, converted from hosts to groups, before any request", () => {
        const [large = 0, small = 0] = createDemandMeter().demandByModel(models, 0).values();
        expect(small / large).to.be.closeTo(2, 0.001);
    });

    it("follows recent requests and returns to the configured shares after they stop", () => {
        const meter = createDemandMeter();
        Array.from({ length: 400 }, (...[, index]) => meter.record("small", 10, index * 20));
        const [large = 0, small = 0] = meter.demandByModel(models, 8_000).values();
        expect(small / large).to.be.greaterThan(20);
        const [laterLarge = 0, laterSmall = 0] = meter.demandByModel(models, 80_000).values();
        expect(laterSmall / laterLarge).to.be.closeTo(2, 0.2);
    });

    it("counts both prefill and decode, so that a long prompt with a short answer is work, too", () => {
        const [large] = models;
        if (large === undefined) {
            throw new Error("The list of models is empty.");
        }
        const check = requestWorkMilliseconds(engine, large, { prompt: 2_000, answer: 24 });
        const draft = requestWorkMilliseconds(engine, large, { prompt: 1_460, answer: 150 });
        expect([check > 30, draft > check]).to.deep.equal([true, true]);
    });

    it("forms more groups of the model with the highest demand", () => {
        const meter = createDemandMeter();
        // One second of heavy load: 58 requests for the large model, 220 for the small one.
        models.forEach((profile, index) =>
            Array.from(
                { length: index === 0 ? 58 : 220 },
                () =>
                    meter.record(
                        profile.name,
                        requestWorkMilliseconds(engine, profile, { prompt: 900, answer: 140 }),
                        0,
                    ),
            )
        );
        const demand = meter.demandByModel(models, 0);
        const newGroups = chooseGroupCounts(
            models.map(profile => ({
                profile,
                demand: demand.get(profile.name) ?? 0,
                groups: 6,
                groupsInDomain: 0,
                holders: 0,
            })),
            { count: 24, empty: 24, loadsAllowed: 24, loadsAreQuick: false },
        );
        expect([newGroups.get("large"), newGroups.get("small")]).to.deep.equal([0, 4]);
    });
});

describe("requested models", () => {
    it("are those with recent requests, whatever the shares are, but not one with a single request", () => {
        const meter = createDemandMeter();
        Array.from({ length: 4 }, () => meter.record("large", 10, 1_000));
        meter.record("small", 10, 1_000);
        expect([...meter.requestedModels(3_000)]).to.deep.equal(["large"]);
        expect([...meter.requestedModels(60_000)]).to.deep.equal([]);
    });
});
