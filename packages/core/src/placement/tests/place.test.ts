/** Requests go to groups with free slots, or are refused at once with a time to retry if no group can start them. */
import { expect } from "chai";
import type { EngineProfile } from "../../routes/types.js";
import { decodeStepMilliseconds, type PlacementCandidate, type PlacementInput, placeRequest } from "../place.js";

const model = { name: "large", size: 6, share: 0.67, pace: 1, loadMilliseconds: 16_000, warmMilliseconds: 1_600 };
const engine: EngineProfile = {
    slots: 18,
    kvCacheTokens: 1_710_000,
    stepsPerPass: 6,
    models: [model],
    baseStepMilliseconds: 6.45,
    stepMillisecondsPerSequence: 0.14,
    stepMillisecondsPerThousandContextTokens: 0.004,
    prefillTokensPerSecond: 56_100,
    prefillMillisecondsPerMillionPairs: 0.3,
    prefillChunkTokens: 2_048,
    loadsPerSecond: 5,
    concurrentLoads: 8,
    openMilliseconds: 300,
    meanPromptTokens: 1_115,
    meanOutputTokens: 152,
};
const candidate = (head: string, fields: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
    head,
    dataCentre: "a",
    inProgress: 0,
    pendingPromptTokens: 0,
    suspected: false,
    waitMilliseconds: 0,
    slowness: 1,
    isConnected: false,
    ...fields,
});
const input = (candidates: readonly PlacementCandidate[], fields: Partial<PlacementInput> = {}): PlacementInput => ({
    engine,
    model,
    candidates,
    dataCentre: "a",
    promptTokens: 1_000,
    remainingMilliseconds: 8_000,
    recovering: false,
    random: () => 0.5,
    ...fields,
});

const cases: readonly { guards: string; input: PlacementInput; expected: string; }[] = [
    {
        guards: "choosing the busier of two groups",
        input: input([candidate("x", { inProgress: 5 }), candidate("y", { inProgress: 1 })]),
        expected: "y",
    },
    {
        guards: "choosing a group with long prompts that wait for prefill",
        input: input([candidate("x", { pendingPromptTokens: 50_000 }), candidate("y", { inProgress: 3 })]),
        expected: "y",
    },
    {
        guards: "a new connection where one is idle",
        input: input([candidate("x"), candidate("y", { isConnected: true, inProgress: 3 })]),
        expected: "y",
    },
    {
        guards: "sending a request to a nearly full group because of its idle connection",
        input: input([candidate("x"), candidate("y", { isConnected: true, inProgress: 17 })]),
        expected: "x",
    },
    {
        guards: "choosing a slow group while another one has fewer free slots",
        input: input([candidate("x", { slowness: 3 }), candidate("y", { inProgress: 12 })]),
        expected: "y",
    },
    {
        guards: "refusing while only a slow group has free slots",
        input: input([candidate("x", { slowness: 3 }), candidate("y", { inProgress: 18 })]),
        expected: "x",
    },
    {
        guards: "refusing a request for a slow group that was drawn, while a quick one can begin in time",
        input: input([candidate("x", { slowness: 1.7 }), candidate("y", { inProgress: 17 })], {
            remainingMilliseconds: 150,
        }),
        expected: "y",
    },
    {
        guards: "sending a request to a slow group that cannot begin in time",
        input: input([candidate("x", { slowness: 16 })], { remainingMilliseconds: 800 }),
        expected: "too-late",
    },
    {
        guards: "traffic between data centres for a small difference",
        input: input([candidate("x", { inProgress: 2 }), candidate("y", { dataCentre: "b" })]),
        expected: "x",
    },
    {
        guards: "loading one data centre further while another one is idle",
        input: input([candidate("x", { inProgress: 9 }), candidate("y", { dataCentre: "b" })]),
        expected: "y",
    },
    {
        guards: "choosing a head that makes no progress",
        input: input([candidate("x", { suspected: true }), candidate("y", { inProgress: 9 })]),
        expected: "y",
    },
    { guards: "waiting while no group serves", input: input([]), expected: "no-group" },
    { guards: "queueing at full groups", input: input([candidate("x", { inProgress: 18 })]), expected: "full" },
    {
        guards: "choosing an idle head beyond the rate that it states",
        input: input([candidate("x", { waitMilliseconds: 1 }), candidate("y", { inProgress: 17 })]),
        expected: "y",
    },
    {
        guards: "sending more than the rate of the only group",
        input: input([candidate("x", { waitMilliseconds: 1 })]),
        expected: "limited",
    },
    {
        guards: "queueing at full groups because a limited one is idle",
        input: input([candidate("x", { waitMilliseconds: 1 }), candidate("y", { inProgress: 18 })]),
        expected: "limited",
    },
    {
        guards: "placing a request that cannot start before its deadline",
        input: input([candidate("x", { pendingPromptTokens: 200_000 })], { remainingMilliseconds: 1_000 }),
        expected: "too-late",
    },
];

describe("placeRequest", () => {
    cases.forEach(({ guards, input: given, expected }) => {
        it(`prevents ${guards}`, () => {
            const placement = placeRequest(given);
            expect(placement.kind === "placed" ? placement.head : placement.reason).to.equal(expected);
        });
    });

    it("tells a refused caller when a slot becomes free", () => {
        const placement = placeRequest(input([candidate("x", { inProgress: 18 }), candidate("y", { inProgress: 18 })]));
        expect(placement.kind === "refused" && placement.retryAfterMilliseconds).to.be.within(100, 3_000);
    });

    it("tells a refused caller to wait for as many free slots as one group has", () => {
        const fullGroups = (count: number): PlacementCandidate[] =>
            Array.from({ length: count }, (...[, index]) => candidate(`${index}`, { inProgress: engine.slots }));
        const waits = [1, 2, 4].map(count => {
            const placement = placeRequest(input(fullGroups(count)));
            return placement.kind === "refused" ? placement.retryAfterMilliseconds : 0;
        });
        const duration = decodeStepMilliseconds(engine, model, engine.slots) * engine.meanOutputTokens;
        expect(waits).to.deep.equal([1, 2, 4].map(count => Math.ceil(duration / count)));
    });

    it("tells a caller refused for a limit to return when the first target takes a request, or within twice that time", () => {
        const limited = [800, 500].map((wait, index) => candidate(`${index}`, { waitMilliseconds: wait }));
        const waits = [0, 0.999].map(random => {
            const placement = placeRequest(input(limited, { random: () => random }));
            return placement.kind === "refused" ? placement.retryAfterMilliseconds : 0;
        });
        expect(waits).to.deep.equal([500, 1_000]);
    });

    it("tells a refused caller to retry when lost groups have been formed again", () => {
        const full = [candidate("x", { inProgress: 18 })];
        const waits = [true, false].map(recovering => {
            const placement = placeRequest(input(full, { recovering }));
            return placement.kind === "refused" ? placement.retryAfterMilliseconds : 0;
        });
        expect(waits[0]).to.be.within(1_500, 2_500);
        expect(waits[1]).to.be.below(1_500);
    });
});
