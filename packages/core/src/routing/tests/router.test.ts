import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createRouter } from "../router.js";
import type { Candidate, RouteRequest } from "../types.js";

const plain: RouteRequest = { prefixes: [], priority: 5, excluded: [] };
const candidate = (target: string, change: Partial<Candidate> = {}): Candidate => ({
    target,
    weight: 1,
    readySince: -100_000,
    ...change,
});
const load = (running: number, reportedAt = 0) => ({ running, queued: 0, reportedAt });
const names = (count: number) => Array.from(Array(count).keys(), index => `g${index}`);

function count(candidates: Candidate[], request = plain, now = 0, tries = 300): Record<string, number> {
    const router = createRouter({ random: xoroshiro128plus(7) });
    const counts: Record<string, number> = {};
    Array.from({ length: tries }).forEach(() => {
        const target = router.choose(candidates, request, now).target ?? "none";
        counts[target] = (counts[target] ?? 0) + 1;
    });
    return counts;
}

describe("router", () => {
    const cases: {
        guards: string;
        candidates: Candidate[];
        request?: Partial<RouteRequest>;
        check: (counts: Record<string, number>) => boolean;
    }[] = [
        {
            guards: "a drained target still gets requests",
            candidates: [candidate("a", { weight: 0 }), candidate("b")],
            check: ({ a }) => a === undefined,
        },
        {
            guards: "a full target gets requests",
            candidates: [candidate("a", { concurrency: 4, load: load(4) }), candidate("b", { load: load(9) })],
            check: ({ a }) => a === undefined,
        },
        {
            guards: "a tried target is tried again",
            candidates: [candidate("a")],
            request: { excluded: ["a"] },
            check: ({ none }) => none === 300,
        },
        {
            guards: "all requests go to the target with the lowest reported load",
            candidates: names(8).map((name, index) => candidate(name, { load: load(index) })),
            check: counts => Object.values(counts).every(value => value < 150),
        },
        {
            guards: "idle targets are not used by weight",
            candidates: [candidate("a", { weight: 3 }), candidate("b")],
            check: ({ a = 0 }) => a > 200 && a < 250,
        },
        {
            guards: "a target that becomes ready gets its full share at once",
            candidates: [candidate("a", { readySince: -1_000 }), candidate("b")],
            check: ({ a = 0 }) => a > 0 && a < 75,
        },
    ];
    cases.forEach(({ guards, candidates, request, check }) => {
        it(`guards against: ${guards}`, () => {
            const counts = count(candidates, { ...plain, ...request });
            expect(check(counts), JSON.stringify(counts)).to.equal(true);
        });
    });

    it("counts requests sent since the report, and counts those in the report only once", () => {
        const router = createRouter({ random: xoroshiro128plus(1) });
        router.sent("a", plain, 10);
        router.sent("a", plain, 30);
        const estimate = (reportedAt: number) =>
            router.choose([candidate("a", { load: load(3, reportedAt) })], plain, 50).weighed[0]?.estimatedLoad;
        expect([estimate(5), estimate(20), estimate(40)]).to.deep.equal([5, 4, 3]);
    });

    it("prefers the holder of a prefix until it is too loaded, and removes the prefix after a gap", () => {
        const router = createRouter({ random: xoroshiro128plus(1) });
        const request = { ...plain, prefixes: ["p1", "p2"] };
        const candidates = names(8).map(name => candidate(name));
        router.cacheEvent("g5", { stored: ["p1", "p2"], evicted: [] });
        const chosen = () => new Set(names(50).map(() => router.choose(candidates, request, 0).target));
        expect([...chosen()]).to.deep.equal(["g5"]);
        const busy = candidates.map(({ target }) => candidate(target, { load: load(target === "g5" ? 9 : 0) }));
        expect(new Set(names(50).map(() => router.choose(busy, request, 0).target)).has("g5")).to.equal(false);
        router.cacheGap("g5");
        expect(chosen().size).to.be.greaterThan(4);
    });

    it("does not concentrate requests on the known holders of a widely held prefix", () => {
        const router = createRouter({ random: xoroshiro128plus(1) });
        const request = { ...plain, prefixes: ["p"] };
        const candidates = names(9).map(name => candidate(name));
        names(5).forEach(name => router.cacheEvent(name, { stored: ["p"], evicted: [] }));
        const chosen = new Set(names(100).map(() => router.choose(candidates, request, 0).target));
        expect(chosen.size).to.equal(9);
    });

    it("uses a report that is older than the newest one", () => {
        const router = createRouter({ random: xoroshiro128plus(1) });
        router.sent("a", plain, 10);
        router.finished({ target: "a", finishedAt: 20, result: "complete" });
        const estimate = (reportedAt: number) =>
            router.choose([candidate("a", { load: load(1, reportedAt) })], plain, 50).weighed[0]?.estimatedLoad;
        expect([estimate(30), estimate(15)]).to.deep.equal([1, 0]);
    });

    it("ejects a failing target for a growing time, and never more targets than the cap", () => {
        const router = createRouter({ random: xoroshiro128plus(1) });
        const candidates = names(6).map(name => candidate(name));
        const fail = (target: string, finishedAt: number) =>
            names(3).forEach(() => router.finished({ target, finishedAt, result: "failed" }));
        const ejected = (now: number) =>
            router.choose(candidates, plain, now).weighed.filter(({ excludedBecause }) => excludedBecause === "ejected")
                .map(({ target }) => target);
        fail("g0", 0);
        expect([ejected(4_999), ejected(5_000)]).to.deep.equal([["g0"], []]);
        fail("g0", 6_000);
        expect([ejected(15_999), ejected(16_000)]).to.deep.equal([["g0"], []]);
        names(6).forEach(name => fail(name, 20_000));
        expect(ejected(20_001)).to.have.length(2);
    });

    it("ejects a straggler by its first-token time", () => {
        const router = createRouter({ random: xoroshiro128plus(1) });
        const candidates = names(5).map(name => candidate(name));
        names(12).forEach(() =>
            candidates.forEach(({ target }) => {
                const firstTokenMilliseconds = target === "g2" ? 2_000 : 300;
                router.finished({ target, finishedAt: 100, result: "complete", firstTokenMilliseconds });
            })
        );
        const { weighed } = router.choose(candidates, plain, 101);
        expect(weighed.find(({ target }) => target === "g2")?.excludedBecause).to.equal("ejected");
    });
});
