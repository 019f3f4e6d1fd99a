/** Guards against callers blocked by a call that neither answers nor ends when it is aborted. */
import { expect } from "chai";
import { TimeoutError, withTimeout } from "../withtimeout.js";

describe("withTimeout", () => {
    it("passes a value and an error on", async () => {
        expect(await withTimeout(Promise.resolve(3), 50)).to.equal(3);
        const failure = await withTimeout(Promise.reject(new Error("refused")), 50).catch((error: unknown) => error);
        expect((failure as Error).message).to.equal("refused");
    });

    it("rejects in time although the promise is never settled", async () => {
        const startedAt = performance.now();
        const failure = await withTimeout(new Promise(() => undefined), 30).catch((error: unknown) => error);
        expect(failure).to.be.instanceOf(TimeoutError);
        expect(performance.now() - startedAt).to.be.below(200);
    });
});
