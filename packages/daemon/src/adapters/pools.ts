/** Connection pools to targets, one per origin, and health probes over separate connections. */
import { Client, Pool } from "undici";
import { isFinalStatus } from "../responsestatus.js";

/** Pools of connections to targets. */
export interface TargetPools {
    /** Returns the pool of an origin, creating it on first use. */
    poolFor(origin: string): Pool;
    /** Closes the idle connections of an origin after one of its connections went silent; those in use may finish. */
    replace(origin: string): void;
    /** Probes a target over a new connection. Any HTTP answer within the timeout counts as healthy, whatever its status. */
    probe(origin: string, request: ProbeRequest): Promise<boolean>;
    close(): Promise<void>;
}

/** Request of a probe. */
export interface ProbeRequest {
    readonly method: "GET" | "HEAD";
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly timeoutMilliseconds: number;
}

/** A healthy target on a local network accepts a connection within this time. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** Below the keep-alive timeout of common servers, so that servers rarely close a pooled connection during a request. */
const KEEP_ALIVE_MILLISECONDS = 4_000;
/** Largest number of pools; the least recently used pool is closed when it is exceeded. */
const MAXIMUM_POOLS = 4_096;

/** Creates the pools. Requests are not pipelined, so that a lost connection affects only one request. */
export function createTargetPools(maximumPools = MAXIMUM_POOLS): TargetPools {
    /** Pools by origin, the least recently used one first. */
    const pools = new Map<string, Pool>();

    const retire = (origin: string): void => {
        const pool = pools.get(origin);
        pools.delete(origin);
        pool?.close().catch(() => undefined);
    };

    return {
        poolFor: origin => {
            const existing = pools.get(origin);
            if (existing !== undefined) {
                pools.delete(origin);
                pools.set(origin, existing);
                return existing;
            }
            const pool = new Pool(origin, {
                connections: undefined,
                pipelining: 1,
                connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
                keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
                keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            pools.set(origin, pool);
            if (pools.size > maximumPools) {
                retire([...pools.keys()][0] ?? origin);
            }
            return pool;
        },
        replace: retire,
        probe: async (origin, request) => {
            const client = new Client(origin, { connect: { timeout: request.timeoutMilliseconds } });
            try {
                const response = await client.request({
                    method: request.method,
                    path: request.path,
                    headers: { ...request.headers },
                    reset: true,
                    signal: AbortSignal.timeout(request.timeoutMilliseconds),
                });
                return isFinalStatus(response.statusCode);
            }
            catch {
                return false;
            }
            finally {
                client.destroy().catch(() => undefined);
            }
        },
        close: async () => {
            const all = [...pools.values()];
            pools.clear();
            await Promise.all(all.map(pool => pool.destroy()));
        },
    };
}
