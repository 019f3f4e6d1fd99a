/**
 * Benchmark of the request path with real processes: what one daemon adds to streams over calling the engines
 * directly, at the daemon's even share of the target peak and at ten times that.
 */
import type { Report } from "@damaskvale/core";
import type { Histogram } from "hdr-histogram-js";
import { type Cluster, secrets } from "../../cluster/cluster.js";
import { fetchJson } from "../../cluster/control.js";
import { CALLER_KEY, MODEL } from "../../failures/callers.js";
import { startSmallCluster } from "../../failures/fixture.js";
import { sampleProcess, useBetween } from "../process.js";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";
import { type LoadResult, runLoad, type StreamTarget } from "./load.js";

/** Even share of one daemon at the target peak: 1,500 requests and 580,000 tokens a second over 410 daemons. */
const SHARE_REQUESTS_PER_SECOND = 3.7;
const SHARE_TOKENS_PER_SECOND = 1_415;
const ENGINES = 12;
const PERCENTILES = [50, 95, 99] as const;
const MICROSECONDS = 1_000;

const factors = [1, 10] as const;

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
            for (const factor of factors) {
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
    const through = { url: daemon.url, headers: { authorization: `Bearer ${CALLER_KEY}` } };
    await runLoad({ ...load, milliseconds: 3_000, target: () => through });
    const engines = await readLeaders(cluster);
    const direct = await runLoad({ ...load, target: number => directTarget(engines, number) });
    const before = sampleProcess(daemon.child.pid);
    const relayed = await runLoad({ ...load, target: () => through });
    const after = sampleProcess(daemon.child.pid);
    const use = useBetween(before, after);
    const scenario = `${factor} times the even share: ${load.requestsPerSecond.toFixed(1)} requests/s`;
    const own = { scenario, subject: "through one daemon", baseline: false };
    return [
        ...latencies({ scenario, subject: "engines called directly", baseline: true }, direct),
        ...latencies(own, relayed),
        { ...own, measure: "processor", unit: "cores", value: use.cores, better: "lower" },
        {
            ...own,
            measure: "tokens for each core",
            unit: "tokens/s",
            value: relayed.tokens / use.processorSeconds,
            better: "higher",
        },
        { ...own, measure: "memory", unit: "MB", value: after.memoryMegabytes, better: "lower" },
        { ...own, measure: "most open streams", unit: "streams", value: relayed.maximumOpen, better: "higher" },
    ];
}

function latencies(row: Pick<BenchFigure, "scenario" | "subject" | "baseline">, result: LoadResult): BenchFigure[] {
    const percentiles = (measure: string, histogram: Histogram): BenchFigure[] =>
        PERCENTILES.map(percentile => ({
            ...row,
            measure: `${measure} p${percentile}`,
            unit: "ms",
            value: histogram.getValueAtPercentile(percentile) / MICROSECONDS,
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

let attempts = 0;

/** Spreads the requests evenly, as the best case of a caller without a daemon. */
function directTarget(leaders: readonly Leader[], number: number): StreamTarget {
    const { url, report } = leaders[number % leaders.length]!;
    attempts += 1;
    return {
        url,
        headers: {
            "authorization": `Bearer ${secrets.targetCredential}`,
            "x-attempt-id": `bench-${attempts}`,
            "x-group": report.group ?? "",
            "x-fence": String(report.fence ?? 0),
            "x-priority": "5",
        },
    };
}
