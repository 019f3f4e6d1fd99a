/** Operators see how many requests of each priority were refused; retries and other services do not count. */
import { expect } from "chai";
import { Registry } from "prom-client";
import { createAdmissionMetrics } from "../admissionmetrics.js";

describe("admission metrics", () => {
    it("count first attempts by decision and priority", async () => {
        const registry = new Registry();
        const { streamSent, requestShed } = createAdmissionMetrics([registry]);
        streamSent?.({ attempt: 1, priority: 0, queuedMilliseconds: 0 });
        streamSent?.({ attempt: 2, priority: 0, queuedMilliseconds: 0 });
        streamSent?.({ attempt: 1 });
        streamSent?.({ attempt: 1, priority: 2, queuedMilliseconds: 12 });
        requestShed?.({ priority: 2, queuedMilliseconds: 30 });
        const lines = (await registry.metrics()).split("\n").filter(line => line.startsWith("damaskvale_admissions"));
        expect(lines).to.deep.equal([
            'damaskvale_admissions_total{decision="serve",priority="0"} 1',
            'damaskvale_admissions_total{decision="queue",priority="2"} 1',
            'damaskvale_admissions_total{decision="refuse",priority="2"} 1',
        ]);
    });
});
