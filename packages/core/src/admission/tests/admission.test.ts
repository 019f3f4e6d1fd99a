import { expect } from "chai";
import { createAdmission } from "../admission.js";
import type { AdmissionRequest, TeamShare } from "../types.js";

const share = (team: string, change: Partial<TeamShare> = {}): TeamShare => ({
    team,
    weight: 1,
    queueLength: 10,
    ...change,
});
const request = (id: string, team = "a", change: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
    id,
    team,
    priority: 5,
    tokens: 100,
    deadlineAt: 60_000,
    ...change,
});
const ids = (prefix: string, count: number) => Array.from(Array(count).keys(), index => `${prefix}${index}`);

function admissionOf(capacity: number, ...shares: TeamShare[]) {
    const admission = createAdmission({ capacity });
    admission.configure(shares, 0);
    return admission;
}

describe("admission", () => {
    it("refuses requests above a rate immediately, with retry times spaced at that rate", () => {
        const admission = admissionOf(99, share("a", { requestsPerSecond: 0.5 }));
        expect(admission.offer(request("r0"), 0).kind).to.equal("admitted");
        const refused = ids("x", 2).map(id => admission.offer(request(id), 0));
        expect(refused).to.deep.equal([2_000, 4_000].map(retryAfterMilliseconds => ({
            kind: "refused",
            code: "rate_limited",
            retryAfterMilliseconds,
        })));
        expect(admission.offer(request("r1"), 2_000).kind).to.equal("admitted");
    });

    it("admits a request that costs more than the burst, and charges the tokens that it actually used", () => {
        const admission = admissionOf(99, share("a", { tokensPerSecond: 1_000 }));
        expect(admission.offer(request("r0", "a", { tokens: 1_500 }), 0).kind).to.equal("admitted");
        admission.finish("r0", 3_000, 0);
        const decision = admission.offer(request("r1"), 0);
        expect(decision).to.deep.include({ code: "rate_limited", retryAfterMilliseconds: 2_100 });
    });

    it("serves backlogged teams by weight, independently of their number of requests", () => {
        const admission = admissionOf(1, share("a", { weight: 3, queueLength: 99 }), share("b", { queueLength: 99 }));
        admission.offer(request("first", "b"), 0);
        ids("b", 60).forEach(id => admission.offer(request(id, "b", { deadlineAt: 1e9 }), 0));
        ids("a", 60).forEach(id => admission.offer(request(id, "a", { deadlineAt: 1e9 }), 0));
        let current = "first";
        const order = ids("", 40).map(() => {
            admission.finish(current, 100, 1);
            [current = ""] = admission.poll(1).admitted;
            return current[0];
        });
        expect(order.filter(team => team === "a").length).to.be.within(29, 31);
    });

    it("lets a higher priority overtake a lower one without starving it", () => {
        const admission = admissionOf(1, share("a", { queueLength: 99 }));
        admission.offer(request("running"), 0);
        admission.offer(request("low", "a", { priority: 0 }), 0);
        admission.offer(request("high", "a", { priority: 9 }), 1);
        admission.offer(request("late", "a", { priority: 9 }), 18_001);
        const order = ["running", "high", "low"].map(id => {
            admission.finish(id, 100, 20_000);
            return admission.poll(20_000).admitted[0];
        });
        expect(order).to.deep.equal(["high", "low", "late"]);
    });

    it("refuses requests when the queue is full, but lets a higher priority evict the last request", () => {
        const admission = admissionOf(1, share("a", { queueLength: 1 }));
        admission.offer(request("running"), 0);
        admission.offer(request("low", "a", { priority: 1 }), 0);
        expect(admission.offer(request("same", "a", { priority: 1 }), 0)).to.include({ code: "queue_full" });
        expect(admission.offer(request("high"), 0).kind).to.equal("queued");
        expect(admission.poll(0).refused.map(({ id }) => id)).to.deep.equal(["low"]);
    });

    it("refuses requests that cannot meet their deadline, and never admits cancelled requests", () => {
        const admission = admissionOf(1, share("a"));
        admission.offer(request("running"), 0);
        expect(admission.offer(request("hopeless", "a", { deadlineAt: 500 }), 0).kind).to.equal("refused");
        admission.offer(request("expires", "a", { deadlineAt: 1_500 }), 0);
        admission.offer(request("withdrawn"), 0);
        admission.cancel("withdrawn");
        expect(admission.poll(1_500).refused[0]?.decision).to.include({ code: "deadline_exceeded" });
        admission.finish("running", 100, 1_600);
        expect(admission.poll(1_600).admitted).to.deep.equal([]);
    });
});
