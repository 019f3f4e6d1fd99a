/** An error of the reader of the host list ends neither the process nor the reading. */
import { install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { Ok } from "ts-results";
import { HOST_LIST_INTERVAL_MILLISECONDS, HostsTask } from "../hosts.js";

describe("list of hosts", () => {
    const cases: readonly { guards: string; fail: () => Promise<never>; }[] = [
        { guards: "a read that rejects", fail: () => Promise.reject(new Error("faulty")) },
        {
            guards: "a read that throws",
            fail: () => {
                throw new Error("faulty");
            },
        },
    ];
    cases.forEach(({ guards, fail }) =>
        it(`is read again after ${guards}`, async () => {
            const clock = install({ toFake: ["setInterval", "clearInterval", "performance"] });
            try {
                const events: string[] = [];
                const host = { host: "h", dataCentre: "x", state: "live" };
                const answers = [fail, () => Promise.resolve(Ok([host]))];
                const task = new HostsTask({
                    dataCentre: "x",
                    list: { list: () => (answers.shift() ?? fail)() as never },
                    clock: { monotonic: () => performance.now(), wall: () => Date.now() },
                    metrics: { increment: () => undefined, gauge: () => undefined, timing: () => undefined },
                    eventLog: { emit: name => void events.push(name) },
                    owned: () => new Set(),
                });
                task.start();
                await clock.tickAsync(HOST_LIST_INTERVAL_MILLISECONDS + 100);
                task.stop();
                expect([[...task.hosts.current().hosts.keys()], events]).to.deep.equal([["h"], ["taskFailed"]]);
            }
            finally {
                clock.uninstall();
            }
        })
    );
});
