/** An engine is ready when the weights of its last order are loaded, not those of an earlier one. */
import { expect } from "chai";
import { setTimeout as delay } from "node:timers/promises";
import { createRole, type Order } from "../role.js";

const LOAD_MILLISECONDS = 200;

const assign = (model: string): Order => ({ order: "assign", group: "g", fence: 1, model, version: "1", members: [] });
const clear: Order = { order: "clear", group: "g", fence: 1, members: [] };

describe("role of the engine stand-in", () => {
    const cases: readonly { guards: string; orders: readonly Order[]; }[] = [
        { guards: "another model for the same group", orders: [assign("b")] },
        { guards: "the same assignment after it was cleared", orders: [clear, assign("a")] },
    ];
    cases.forEach(({ guards, orders }) =>
        it(`loads anew for ${guards}`, async () => {
            const options = {
                host: "h",
                credential: "",
                ignoreFence: false,
                loadMilliseconds: LOAD_MILLISECONDS,
                memberTimeoutMilliseconds: 100,
            };
            const role = createRole(options, () => undefined);
            role.apply(assign("a"));
            await delay(LOAD_MILLISECONDS / 2);
            orders.forEach(order => role.apply(order));
            await delay(LOAD_MILLISECONDS * 0.75);
            expect(role.current().state).to.equal("loading");
            await delay(LOAD_MILLISECONDS);
            expect(role.current().state).to.equal("ready");
        })
    );
});
