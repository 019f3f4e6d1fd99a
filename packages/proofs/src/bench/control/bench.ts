/**
 * Benchmark of the control plane with real processes: processor time, memory and bytes written by an idle daemon, and
 * the time until a table change is in force on all daemons, by cluster size. The smallest cluster is the baseline.
 */
import type { Row } from "@damaskvale/core";
import { build } from "hdr-histogram-js";
import { setTimeout as delay } from "node:timers/promises";
import { type Cluster, startCluster } from "../../cluster/cluster.js";
import { computeProcessUse, sampleProcess } from "../process.js";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";

const DATA_CENTRES = ["pta-hall-a", "pta-hall-b", "jhb-annex"] as const;
const SETTLE_MILLISECONDS = 10_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

interface Size {
    readonly daemons: number;
    /** Number of engines in the cluster, in replica groups of two. */
    readonly engines: number;
}

const quickSizes: readonly Size[] = [{ daemons: 3, engines: 0 }, { daemons: 9, engines: 0 }];
const sizes: readonly Size[] = [
    ...quickSizes,
    { daemons: 9, engines: 18 },
    { daemons: 9, engines: 54 },
    { daemons: 20, engines: 0 },
    { daemons: 40, engines: 0 },
    { daemons: 60, engines: 0 },
];

/** Runs the benchmark. */
export const controlBench: Bench = {
    name: "control",
    run: async options => {
        const figures: BenchFigure[] = [];
        for (const size of options.quick ? quickSizes : sizes) {
            figures.push(...await measure(size, options));
        }
        return { name: "control", seed: options.seed, quick: options.quick, figures };
    },
};

async function measure(size: Size, { quick }: BenchOptions): Promise<BenchFigure[]> {
    const cluster = await startCluster({
        daemons: [...Array(size.daemons).keys()].map(index => ({
            name: `d-${String(index).padStart(3, "0")}`,
            dataCentre: selectDataCentre(index),
            args: ["--log-level", "warn"],
        })),
        engines: [...Array(size.engines).keys()].map(index => ({
            host: `h-${String(index).padStart(3, "0")}`,
            dataCentre: selectDataCentre(index),
            fabricDomain: `${selectDataCentre(index)}-rack-1`,
        })),
        services: [],
    });
    try {
        await cluster.daemons[0]!.control.setRows(createTableRows(size), "everywhere");
        await delay(SETTLE_MILLISECONDS);
        return [...await measureIdle(cluster, size, quick), ...await measureChanges(cluster, size, quick)];
    }
    finally {
        await cluster.stop();
    }
}

function selectDataCentre(index: number): string {
    return DATA_CENTRES[index % DATA_CENTRES.length]!;
}

function createTableRows({ engines }: Size): Row[] {
    const replicas = Math.floor(engines / DATA_CENTRES.length / 2);
    const weights = { spares: 0, downtimeWeight: 1, strandedWeight: 1 };
    return [{ kind: "model", name: "bench", version: "1", members: 2, replicas, dataCentres: [], ...weights }];
}

function createFigureRow({ daemons, engines }: Size) {
    const subject = "each daemon";
    return { scenario: `${daemons} daemons, ${engines} engines`, subject, baseline: daemons === 3 } as const;
}

async function measureIdle(cluster: Cluster, size: Size, quick: boolean): Promise<BenchFigure[]> {
    const sample = () => cluster.daemons.map(({ child }) => sampleProcess(child.pid));
    const before = sample();
    await delay(quick ? 5_000 : 20_000);
    const after = sample();
    const uses = before.map((sampleBefore, index) => computeProcessUse(sampleBefore, after[index]!));
    const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
    const figure = (measure: string, unit: string, value: number): BenchFigure => ({
        ...createFigureRow(size),
        measure,
        unit,
        value,
        better: "lower",
    });
    return [
        figure("processor, mean", "% of a core", 100 * mean(uses.map(({ cores }) => cores))),
        figure("processor, highest", "% of a core", 100 * Math.max(...uses.map(({ cores }) => cores))),
        figure("memory, mean", "MB", mean(after.map(({ memoryMegabytes }) => memoryMegabytes))),
        figure("written, mean", "B/s", mean(uses.map(use => use.writtenBytesPerSecond))),
        figure("written, highest", "B/s", Math.max(...uses.map(use => use.writtenBytesPerSecond))),
    ];
}

async function measureChanges(cluster: Cluster, size: Size, quick: boolean): Promise<BenchFigure[]> {
    const histogram = build();
    const changes = quick ? 10 : 30;
    for (let change = 0; change < changes; change += 1) {
        const { control } = cluster.daemons[change % cluster.daemons.length]!;
        const row = { kind: "rule", name: "bench", model: "*", team: "*", target: "*", weight: 1 + change } as const;
        const startedAt = performance.now();
        const { missing } = await control.setRows([row], "everywhere");
        if (missing.length > 0) {
            throw new Error(`The change was not in force on ${missing.join(", ")} in time.`);
        }
        histogram.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND));
    }
    return [50, 95].map(percentile => ({
        ...createFigureRow(size),
        measure: `in force everywhere p${percentile}`,
        unit: "ms",
        value: histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND,
        better: "lower",
    }));
}
