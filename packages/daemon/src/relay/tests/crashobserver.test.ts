/** Which lost connections count as a crash, with which parts of prompts, and which requests prove their parts. */
import { expect } from "chai";
import { createCrashObserver, type ObservedAttempt } from "../crashobserver.js";

interface Scene {
    /** Observes an attempt at target `t` with these parts. */
    readonly observe: (parts: readonly string[], startedAt?: number) => ObservedAttempt;
    readonly wait: (milliseconds: number) => void;
}

interface Conclusions {
    readonly crashes: readonly (readonly string[])[];
    readonly proven: readonly (readonly string[])[];
    readonly alive: number;
}

function conclude(run: (scene: Scene) => void): Conclusions {
    const crashes: (readonly string[])[] = [];
    const proven: (readonly string[])[] = [];
    let alive = 0;
    let now = 1_000;
    const observer = createCrashObserver({
        clock: { monotonic: () => now, wall: () => 0 },
        onCrash: ({ parts }) => void crashes.push(parts),
        onProven: parts => void proven.push(parts),
        onAlive: () => {
            alive += 1;
        },
    });
    run({
        observe: (parts, startedAt = 7) => observer.observe({ id: "t", startedAt }, parts),
        wait: milliseconds => {
            now += milliseconds;
        },
    });
    return { crashes, proven, alive };
}

function sent(attempt: ObservedAttempt): ObservedAttempt {
    attempt.sent();
    return attempt;
}

function proveAfter(milliseconds: number, { observe, wait }: Scene): void {
    const attempt = sent(observe(["a"]));
    attempt.progressed();
    wait(milliseconds);
    attempt.progressed();
    attempt.connectionLost();
}

const cases: readonly (Partial<Conclusions> & { readonly guards: string; readonly run: (scene: Scene) => void; })[] = [
    {
        guards: "a lost connection names the parts of one request only",
        crashes: [["a", "b", "c"]],
        run: ({ observe }) => {
            const attempts = [["a", "b"], ["a", "c"]].map(parts => sent(observe(parts)));
            attempts.forEach(attempt => attempt.connectionLost());
        },
    },
    {
        guards: "a request that was not written is blamed",
        crashes: [["a"]],
        run: ({ observe }) => {
            observe(["b"]);
            sent(observe(["a"])).connectionLost();
        },
    },
    {
        guards: "a refused connection without any request there counts as a crash",
        crashes: [],
        run: ({ observe }) => observe(["a"]).connectionLost(),
    },
    {
        guards: "a refused connection hides the requests that wait there",
        crashes: [["a"]],
        run: ({ observe }) => {
            sent(observe(["a"]));
            observe(["b"]).connectionLost();
        },
    },
    {
        guards: "requests at an earlier process are blamed",
        crashes: [["b"]],
        run: ({ observe }) => {
            sent(observe(["a"], 6));
            sent(observe(["b"], 7)).connectionLost();
        },
    },
    {
        guards: "parts that turn out later are lost",
        crashes: [["a"], ["a", "b"]],
        run: ({ observe }) => {
            sent(observe(["a"])).connectionLost();
            sent(observe(["b"])).connectionLost();
        },
    },
    {
        guards: "the crash of the next process counts as the same one",
        crashes: [["a"], ["a"]],
        run: ({ observe }) => {
            sent(observe(["a"], 7)).connectionLost();
            sent(observe(["a"], 8)).connectionLost();
        },
    },
    {
        guards: "ends without a lost connection count as crashes",
        crashes: [],
        run: ({ observe }) => sent(observe(["a"])).dropped(),
    },
    {
        guards: "a stream is proven too early",
        proven: [],
        crashes: [["a"]],
        run: scene => proveAfter(499, scene),
    },
    {
        guards: "a stream that went on is blamed, or proven twice",
        proven: [["a"]],
        crashes: [[]],
        run: scene => proveAfter(500, scene),
    },
    {
        guards: "a crash that ends proven streams only is told of never, or twice",
        proven: [["a"], ["b"]],
        crashes: [[]],
        run: ({ observe, wait }) => {
            const attempts = [["a"], ["b"]].map(parts => sent(observe(parts)));
            attempts.forEach(attempt => attempt.progressed());
            wait(500);
            attempts.forEach(attempt => attempt.progressed());
            attempts.forEach(attempt => attempt.connectionLost());
        },
    },
    {
        guards: "a crash of requests without shared parts does not count",
        crashes: [[]],
        run: ({ observe }) => sent(observe([])).connectionLost(),
    },
    {
        guards: "a short stream that ended whole proves nothing",
        proven: [["a"]],
        run: ({ observe }) => {
            const attempt = sent(observe(["a"]));
            attempt.progressed();
            attempt.completed();
            attempt.dropped();
        },
    },
    {
        guards: "an answer without events proves its parts",
        proven: [],
        run: ({ observe }) => sent(observe(["a"])).completed(),
    },
    {
        guards: "a single reset at a process that goes on answering stays a crash",
        crashes: [["a"]],
        alive: 1,
        run: ({ observe, wait }) => {
            sent(observe(["a"])).connectionLost();
            wait(400);
            sent(observe(["a"])).progressed();
        },
    },
    {
        guards: "events that were written before the crash withdraw it",
        crashes: [["b", "a"]],
        alive: 0,
        run: ({ observe, wait }) => {
            const other = sent(observe(["b"]));
            sent(observe(["a"])).connectionLost();
            wait(100);
            other.progressed();
        },
    },
    {
        guards: "the next process withdraws the crash of the one before",
        alive: 0,
        run: ({ observe, wait }) => {
            sent(observe(["a"], 7)).connectionLost();
            wait(3_000);
            sent(observe(["a"], 8)).progressed();
        },
    },
];

describe("the observer of crashes", () => {
    cases.forEach(({ guards, run, ...expected }) =>
        it(`prevents that ${guards}`, () => expect(conclude(run)).to.deep.include(expected))
    );

    const unknownStarts: readonly { readonly guards: string; readonly alive: number; readonly isOlder: boolean; }[] = [
        { guards: "a stream from before the crash is ignored", alive: 1, isOlder: true },
        { guards: "a later process is taken for the crashed one", alive: 0, isOlder: false },
    ];
    unknownStarts.forEach(({ guards, alive, isOlder }) =>
        it(`prevents that ${guards} at a target whose start is unknown`, () => {
            let now = 0;
            let count = 0;
            const observer = createCrashObserver({
                clock: { monotonic: () => now, wall: () => 0 },
                onCrash: () => undefined,
                onProven: () => undefined,
                onAlive: () => {
                    count += 1;
                },
            });
            const before = sent(observer.observe({ id: "t" }, ["a"]));
            now = 10;
            sent(observer.observe({ id: "t" }, ["b"])).connectionLost();
            now = 1_000;
            (isOlder ? before : sent(observer.observe({ id: "t" }, ["a"]))).progressed();
            expect(count).to.equal(alive);
        })
    );
});
