/**
 * Benchmark of the quarantine of prompt parts: crashes until the right part is found, parts that are blamed wrongly, and
 * the cost on the request path and in messages. The days are simulated; the cost is measured in real time.
 */
import { createPartQuarantine, type PartQuarantine } from "@damaskvale/core";
import { Packr } from "msgpackr";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";
import { type BlameMethod, blameMethods } from "./methods.js";
import { PartFleet } from "./partfleet.js";
import type { Disturbance, HarmfulPart } from "./partfleettypes.js";

interface Day {
    readonly name: string;
    readonly daemons?: number;
    readonly harmful?: readonly HarmfulPart[];
    readonly disturbances?: readonly Disturbance[];
}

const DAEMONS = 8;
const TARGETS = 24;
const DAY_MILLISECONDS = 30_000;
const HARMFUL_FROM = 5_000;
const HARMFUL_UNTIL = 25_000;
const STABLE_MILLISECONDS = 3_000;
const allTargets = [...Array(TARGETS).keys()];

const harm = (perSecond: number, part = "harmful"): readonly HarmfulPart[] => [
    { part, from: HARMFUL_FROM, until: HARMFUL_UNTIL, perSecond },
];
const kill = (at: number, targets: readonly number[], spread: number): Disturbance => ({
    kind: "kill",
    at,
    targets,
    spread,
});
const oneEachSecond = allTargets.map(index => kill(1_000 + index * 1_000, [index * 7 % TARGETS], 500));
const resets = [...Array(12).keys()].map((index): Disturbance => ({
    kind: "reset",
    at: 3_000 + index * 1_500,
    daemon: index % DAEMONS,
    targets: [index, index + 3, index + 9],
}));

const days: readonly Day[] = [
    { name: "1 daemon, new part 2/s", daemons: 1, harmful: harm(2) },
    { name: "new part 0.3/s", harmful: harm(0.3) },
    { name: "new part 2/s", harmful: harm(2) },
    { name: "new part 10/s", harmful: harm(10) },
    { name: "rare part that was sound", harmful: harm(1, "other20") },
    { name: "frequent part that was sound", harmful: harm(0, "first2") },
    {
        name: "15% of targets at once, three times",
        disturbances: [5_000, 9_000, 13_000].map(at => kill(at, [1, 6, 11, 16], 50)),
    },
    { name: "a third of the targets within 2 s", disturbances: [kill(8_000, allTargets.slice(0, 8), 2_000)] },
    { name: "all targets within 1.5 s", disturbances: [kill(8_000, allTargets, 1_500)] },
    {
        name: "release, a target each 0.8 s",
        disturbances: allTargets.map(index => kill(3_000 + index * 800, [index], 100)),
    },
    { name: "36 resets without a crash", disturbances: resets },
    { name: "a crash of other causes each second", disturbances: oneEachSecond },
    { name: "new part 2/s and a crash each second", harmful: harm(2), disturbances: oneEachSecond },
];

interface DayResult {
    readonly crashes: number;
    readonly foundAfter: number;
    readonly afterFifth: number;
    readonly late: number;
    readonly falseParts: number;
    readonly falseSeconds: number;
    readonly refused: number;
}

function playDay(
    { daemons = DAEMONS, harmful = [], disturbances = [] }: Day,
    method: BlameMethod,
    seed: number,
): DayResult {
    const fleet = new PartFleet({
        daemons,
        targets: TARGETS,
        slots: 12,
        milliseconds: DAY_MILLISECONDS,
        soundPerSecond: 40,
        firstParts: 5,
        otherParts: 300,
        harmful,
        disturbances,
        loss: 0.1,
        random: xoroshiro128plus(seed),
        createQuarantine: method.create,
    });
    fleet.run();
    fleet.finish();
    const fifth = fleet.crashes[4]?.at ?? Number.POSITIVE_INFINITY;
    const found = fleet.statements.filter(({ statement }) =>
        statement.state === "quarantined" && harmful.some(({ part }) => part === statement.part)
    );
    const foundBy = [...Array(daemons).keys()].map(daemon => found.find(entry => entry.daemon === daemon)?.at);
    const lastFound = Math.max(...foundBy.map(at => at ?? HARMFUL_UNTIL));
    const { sound, falseBlames } = fleet;
    return {
        crashes: fleet.crashes.length,
        foundAfter: fleet.crashes.length === 0 ? 0 : (lastFound - (fleet.crashes[0]?.at ?? lastFound)) / 1_000,
        afterFifth: fleet.attempts.filter(({ at }) => at > fifth).length,
        late: fleet.attempts.filter(({ at }) => at > fifth + STABLE_MILLISECONDS).length,
        falseParts: new Set(falseBlames.map(({ part }) => part)).size,
        falseSeconds: falseBlames.reduce((sum, { milliseconds }) => sum + milliseconds / 1_000, 0) / daemons,
        refused: 100 * sound.filter(({ isRefused }) => isRefused).length / Math.max(1, sound.length),
    };
}

function measureDay(day: Day, method: BlameMethod, { seed, quick }: BenchOptions): BenchFigure[] {
    const results = [...Array(quick ? 1 : 3).keys()].map(index => playDay(day, method, seed + index));
    const mean = (of: (result: DayResult) => number): number =>
        results.reduce((sum, result) => sum + of(result), 0) / results.length;
    const most = (of: (result: DayResult) => number): number => Math.max(...results.map(of));
    const figure = (measure: string, unit: string, value: number): BenchFigure => ({
        scenario: day.name,
        subject: method.name,
        baseline: method.baseline,
        measure,
        unit,
        value,
        better: "lower",
    });
    const harmFigures = day.harmful === undefined ? [] : [
        figure("crashes by the part, mean", "crashes", mean(({ crashes }) => crashes)),
        figure("most", "crashes", most(({ crashes }) => crashes)),
        figure("found by all after the first crash, mean", "s", mean(({ foundAfter }) => foundAfter)),
        figure("sent after the fifth crash, mean", "requests", mean(({ afterFifth }) => afterFifth)),
        figure("later than 3 s after it, most", "requests", most(({ late }) => late)),
    ];
    return [
        ...harmFigures,
        figure("blamed wrongly", "parts a day", mean(({ falseParts }) => falseParts)),
        figure("time of it", "s a day", mean(({ falseSeconds }) => falseSeconds)),
        figure("sound requests refused", "%", mean(({ refused }) => refused)),
    ];
}

/** Measures the cost for one daemon of a fleet in which a tenth as many targets as daemons, at least 4, have crashed. */
function measureCost(daemons: number, { quick }: BenchOptions): BenchFigure[] {
    const crashes = Math.max(4, Math.floor(daemons / 10));
    const create = (): PartQuarantine => {
        const quarantine = createPartQuarantine();
        [...Array(crashes).keys()].forEach(index => {
            const parts = [...Array(24).keys()].map(part => `part-${index}-${part}-0123456789abcdef`);
            quarantine.recordCrash({ target: `t${index}`, startedAt: index, parts: ["shared", ...parts] }, index * 200);
        });
        return quarantine;
    };
    const now = crashes * 200;
    const sender = create();
    const receiver = create();
    const report = sender.report(now);
    const count = quick ? 1_000 : 20_000;
    const time = (run: (index: number) => unknown): number => {
        [...Array(1_000).keys()].forEach(run);
        const startedAt = process.hrtime.bigint();
        [...Array(count).keys()].forEach(run);
        return Number(process.hrtime.bigint() - startedAt) / 1_000 / count;
    };
    const figure = (measure: string, unit: string, value: number): BenchFigure => ({
        scenario: `cost at ${daemons} daemons, ${crashes} crashes known`,
        subject: "damaskvale",
        baseline: false,
        measure,
        unit,
        value,
        better: "lower",
    });
    const parts = ["part-a", "part-b", "part-c"];
    return [
        figure("check of a request", "microseconds", time(() => receiver.check(parts, () => false, now))),
        figure("proof of a stream", "microseconds", time(index => receiver.recordProven(parts, now + index))),
        figure("merge of a known report", "microseconds", time(() => receiver.merge(report, now))),
        figure("report", "microseconds", time(() => sender.report(now))),
        figure("report in msgpack", "bytes", new Packr({ useRecords: false }).pack(report).length),
        figure(
            "report without crashes",
            "bytes",
            new Packr({ useRecords: false }).pack(createPartQuarantine().report(0)).length,
        ),
    ];
}

/** Benchmark of the quarantine of prompt parts. */
export const quarantineBench: Bench = {
    name: "quarantine",
    run: async options => ({
        name: "quarantine",
        ...options,
        figures: [
            ...days.flatMap(day => blameMethods.flatMap(method => measureDay(day, method, options))),
            ...[8, 76, 410].flatMap(daemons => measureCost(daemons, options)),
        ],
    }),
};
