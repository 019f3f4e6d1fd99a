/**
 * Benchmark of the request path with real processes: the overhead of one daemon on streams, compared with direct calls
 * to the engines, at an even share of the target peak load and at ten times that share.
 */
import type { Report } from "@damaskvale/core";
import type { Histogram } from "hdr-histogram-js";
import { type Cluster, secrets } from "../../cluster/cluster.js";
import { fetchJson } from "../../cluster/control.js";
import { CALLER_KEY, MODEL } from "../../failures/callers.js";
import { startSmallCluster } from "../../failures/fixture.js";
import { computeProcessUse, sampleProcess } from "../process.js";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";
import { type LoadResult, runLoad, type StreamTarget } from "./load.js";

/** Even share of one daemon at the target peak load: 1,500 requests/s and 580,000 tokens/s across 410 daemons. */
const SHARE_REQUESTS_PER_SECOND = 3.7;
const SHARE_TOKENS_PER_SECOND = 1_415;
const ENGINES = 12;
const PERCENTILES = [50, 95, 99] as const;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const loadFactors = [1, 10] as const;

/** Runs the benchmark. */
export const pathBench: Bench = {
    name: "path",
    run: async options => {
        const cluster = await startSmallCluster({
            daemons: 1,
            engines: ENGINES,
            members: 1,
            replicas: ENGINES,
            engineArgs: ["--batch", "64", "--token-milliseconds", "20", "--block-milliseconds", "0"],
            daemonArgs: ["--concurrency-per-group", "64", "--log-level", "warn"],
        });
        try {
            const figures: BenchFigure[] = [];
            for (const factor of loadFactors) {
                figures.push(...await measure(cluster, factor, options));
            }
            return { name: "path", seed: options.seed, quick: options.quick, figures };
        }
        finally {
            await cluster.stop();
        }
    },
};

async function measure(cluster: Cluster, factor: number, { quick }: BenchOptions): Promise<BenchFigure[]> {
    const daemon = cluster.daemons[0]!;
    const load = {
        requestsPerSecond: SHARE_REQUESTS_PER_SECOND * factor,
        tokensPerRequest: Math.round(SHARE_TOKENS_PER_SECOND / SHARE_REQUESTS_PER_SECOND),
        milliseconds: quick ? 5_000 : 20_000,
        model: MODEL,
    };
    const throughDaemon = { url: daemon.url, headers: { authorization: `Bearer ${CALLER_KEY}` } };
    await runLoad({ ...load, milliseconds: 3_000, target: () => throughDaemon });
    const engines = await readLeaders(cluster);
    const direct = await runLoad({ ...load, target: number => directTarget(engines, number) });
    const before = sampleProcess(daemon.child.pid);
    const relayed = await runLoad({ ...load, target: () => throughDaemon });
    const after = sampleProcess(daemon.child.pid);
    const use = computeProcessUse(before, after);
    const scenario = `${factor} times the even share: ${load.requestsPerSecond.toFixed(1)} requests/s`;
    const daemonRow = { scenario, subject: "through one daemon", baseline: false };
    return [
        ...createLatencyFigures({ scenario, subject: "engines called directly", baseline: true }, direct),
        ...createLatencyFigures(daemonRow, relayed),
        { ...daemonRow, measure: "processor", unit: "cores", value: use.cores, better: "lower" },
        {
            ...daemonRow,
            measure: "tokens for each core",
            unit: "tokens/s",
            value: relayed.tokens / use.processorSeconds,
            better: "higher",
        },
        { ...daemonRow, measure: "memory", unit: "MB", value: after.memoryMegabytes, better: "lower" },
        { ...daemonRow, measure: "most open streams", unit: "streams", value: relayed.maximumOpen, better: "higher" },
    ];
}

function createLatencyFigures(
    row: Pick<BenchFigure, "scenario" | "subject" | "baseline">,
    result: LoadResult,
): BenchFigure[] {
    const percentiles = (measure: string, histogram: Histogram): BenchFigure[] =>
        PERCENTILES.map(percentile => ({
            ...row,
            measure: `${measure} p${percentile}`,
            unit: "ms",
            value: histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND,
            better: "lower",
        }));
    return [
        ...percentiles("first token", result.firstToken),
        ...percentiles("between tokens", result.betweenTokens),
        { ...row, measure: "failed", unit: "requests", value: result.failed, better: "lower" },
    ];
}

interface Leader {
    readonly url: string;
    readonly report: Report;
}

async function readLeaders(cluster: Cluster): Promise<readonly Leader[]> {
    return Promise.all(cluster.engines.map(async ({ url }) => ({
        url,
        report: (await fetchJson<Report>(`${url}/report`, { token: secrets.targetCredential })).body,
    })));
}

let attemptCount = 0;

/** Distributes the requests evenly, which is the best case for a caller without a daemon. */
function directTarget(leaders: readonly Leader[], number: number): StreamTarget {
    const { url, report } = leaders[number % leaders.length]!;
    attemptCount += 1;
    return {
        url,
        headers: {
            "authorization": `Bearer ${secrets.targetCredential}`,
            "x-attempt-id": `bench-${attemptCount}`,
            "x-group": report.group ?? "",
            "x-fence": String(report.fence ?? 0),
            "x-priority": "5",
        },
    };
}
