/** Guards against a daemon that the others no longer know after the store came back from an older copy. */
import { createStoreEra, type EraStatement } from "@damaskvale/core";
import { type Clock as FakeClock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { TopicFollower } from "../../tasks/followtopic.js";
import { startPresence } from "../presence.js";

const cases: readonly { readonly name: string; readonly stated: readonly number[]; readonly announcements: number; }[] =
    [
        { name: "once while the era stays", stated: [4, 4, 4], announcements: 1 },
        { name: "again when the store came back from an older copy", stated: [4, 5, 5], announcements: 2 },
        { name: "again when the announcement was written in an earlier era", stated: [4, 5, 4, 5], announcements: 3 },
    ];

describe("presence", () => {
    let clock: FakeClock;
    let follower: TopicFollower;
    beforeEach(() => {
        clock = install({ toFake: ["setTimeout", "clearTimeout"] });
    });
    afterEach(() => {
        follower.stop();
        clock.uninstall();
    });

    cases.forEach(({ name, stated, announcements }) => {
        it(`is announced ${name}`, async () => {
            const storeEra = createStoreEra();
            const statements = stated.map((era): EraStatement => ({ kind: "stated", era }));
            const observe = (): number =>
                storeEra.observe(statements.shift() ?? { kind: "missing" }, storeEra.current());
            let announced = 0;
            follower = startPresence({
                topic: {
                    name: "presence",
                    readLatest: () => new Promise(() => undefined),
                    readFrom: () => new Promise(() => undefined),
                    announce: () => {
                        announced += 1;
                        return Promise.resolve(observe());
                    },
                    withdraw: () => Promise.resolve(),
                },
                self: { daemon: "daemon-1", ip: "127.0.0.1", dataCentre: "a" },
                log: { emit: () => undefined },
                random: () => 0.5,
                storeEra,
                setPeers: () => undefined,
            });
            await clock.tickAsync(100);
            observe();
            await clock.tickAsync(3_000);
            expect(announced).to.equal(announcements);
        });
    });
});
