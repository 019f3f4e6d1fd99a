/** Metrics sent as StatsD datagrams with hot-shots. */
import { StatsD } from "hot-shots";
import type { Metrics } from "../ports/metrics.js";

/** Receiver of the metrics, and the tags that are added to every sample. */
export interface StatsdOptions {
    /** `IP:PORT` of the StatsD receiver; without it, metrics are dropped. */
    readonly address?: string;
    readonly daemon: string;
    readonly dataCentre: string;
    /** Called for each error of the socket. */
    readonly onError: (error: Error) => void;
}

/** Metrics whose `close` flushes the buffer and closes the socket. */
export interface ClosableMetrics extends Metrics {
    close(): Promise<void>;
}

const PREFIX = "damaskvale.";
const BUFFER_BYTES = 1_400;
const FLUSH_INTERVAL_MILLISECONDS = 1_000;

/** Creates the metrics client of a daemon. */
export function createStatsd(options: StatsdOptions): ClosableMetrics {
    const [host, port] = (options.address ?? "127.0.0.1:8125").split(":");
    const client = new StatsD({
        host,
        port: Number(port),
        mock: options.address === undefined,
        prefix: PREFIX,
        globalTags: { daemon: options.daemon, data_centre: options.dataCentre },
        maxBufferSize: BUFFER_BYTES,
        bufferFlushInterval: FLUSH_INTERVAL_MILLISECONDS,
        errorHandler: options.onError,
        cacheDns: true,
    });
    if (options.address === undefined) {
        return { increment: () => {}, gauge: () => {}, timing: () => {}, close: async () => {} };
    }
    return {
        increment: (name, count = 1, tags = {}) => client.increment(name, count, { ...tags }),
        gauge: (name, value, tags = {}) => client.gauge(name, value, { ...tags }),
        timing: (name, milliseconds, tags = {}) => client.timing(name, milliseconds, { ...tags }),
        close: () => new Promise(resolve => client.close(() => resolve())),
    };
}
