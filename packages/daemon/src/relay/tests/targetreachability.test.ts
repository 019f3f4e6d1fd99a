/** When a daemon probes targets, and when it reports that it is cut off or reaches them again. */
import type { Target } from "@damaskvale/core";
import { type Clock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { startTargetReachability, type TargetReachability } from "../targetreachability.js";

const TARGETS = ["a", "b", "c", "d"].map(id => ({ id }) as Target);

interface Scene {
    readonly reachability: TargetReachability;
    readonly wait: (milliseconds: number) => Promise<unknown>;
    /** Sets whether targets answer probes. */
    readonly answer: (answers: boolean) => void;
}

const cases: readonly {
    readonly guards: string;
    readonly run: (scene: Scene) => Promise<unknown>;
    readonly probes: number;
    /** Whether the daemon was cut off, and how long the state before had lasted, for each change. */
    readonly changes: readonly (readonly [boolean, number])[];
}[] = [
    {
        guards: "probes while nothing fails",
        run: ({ wait }) => wait(5_000),
        probes: 0,
        changes: [],
    },
    {
        guards: "probes while other targets answer",
        run: async ({ reachability, wait }) => {
            await wait(200);
            reachability.recordMissed("a");
            reachability.recordReached();
            await wait(1_000);
        },
        probes: 0,
        changes: [],
    },
    {
        guards: "a cut that one failed request alone would not show",
        run: async ({ reachability, wait, answer }) => {
            answer(false);
            await wait(200);
            reachability.recordMissed("a");
            await wait(600);
        },
        probes: 6,
        changes: [[true, 250]],
    },
    {
        guards: "a cut that is believed after targets answer again",
        run: async ({ reachability, wait, answer }) => {
            ["a", "b", "c"].forEach(target => reachability.recordMissed(target));
            answer(false);
            await wait(900);
            answer(true);
            await wait(300);
        },
        probes: 8,
        changes: [[true, 0], [false, 1_000]],
    },
];

describe("reachability of the targets of a daemon", () => {
    let clock: Clock;
    beforeEach(() => {
        clock = install();
    });
    afterEach(() => clock.uninstall());

    cases.forEach(({ guards, run, probes, changes }) =>
        it(`guards against ${guards}`, async () => {
            let answers = true;
            let probed = 0;
            const seen: (readonly [boolean, number])[] = [];
            const reachability = startTargetReachability({
                clock: { monotonic: () => clock.now, wall: () => clock.now },
                log: { emit: () => undefined },
                targets: () => TARGETS,
                probe: () => {
                    probed += 1;
                    return Promise.resolve(answers);
                },
                random: () => 1 / TARGETS.length,
            });
            reachability.onChange((...change) => void seen.push(change));
            await run({
                reachability,
                wait: milliseconds => clock.tickAsync(milliseconds),
                answer: value => {
                    answers = value;
                },
            });
            reachability.stop();
            expect(seen).to.deep.equal(changes);
            expect(probed).to.equal(probes);
        })
    );

    it("does not list the targets for each piece of a response", () => {
        let lists = 0;
        const reachability = startTargetReachability({
            clock: { monotonic: () => clock.now, wall: () => clock.now },
            log: { emit: () => undefined },
            targets: () => {
                lists += 1;
                return TARGETS;
            },
            probe: () => Promise.resolve(true),
            random: () => 0,
        });
        Array.from({ length: 100 }, () => reachability.recordReached());
        reachability.stop();
        expect(lists).to.equal(0);
    });
});
