/** Beyond the largest number of pools, the one that was used longest ago is closed. */
import { expect } from "chai";
import { createTargetPools } from "../pools.js";

describe("pools of connections to targets", () => {
    it("keep a pool that is used again and again, however old it is", async () => {
        const pools = createTargetPools(3);
        const origins = ["busy", "b", "c", "d", "e"].map(name => `http://${name}.invalid`);
        const [busy = ""] = origins;
        const first = pools.poolFor(busy);
        const others = origins.slice(1).map(origin => {
            const pool = pools.poolFor(origin);
            return { pool, busyPool: pools.poolFor(busy) };
        });
        expect(others.map(({ busyPool }) => busyPool === first)).to.deep.equal([true, true, true, true]);
        expect(others.map(({ pool }) => pool.closed)).to.deep.equal([true, true, false, false]);
        await pools.close();
    });
});
