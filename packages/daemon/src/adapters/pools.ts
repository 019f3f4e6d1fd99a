/** Connection pools to targets, one for each origin, and the probe that uses a connection of its own. */
import { Client, Pool } from "undici";

/** Pools of connections to targets. */
export interface TargetPools {
    /** Pool of one origin, made when first needed. */
    poolFor(origin: string): Pool;
    /** Gives up the idle connections of an origin, because one of them went silent; those in use are not cut. */
    replace(origin: string): void;
    /** Asks the target over a new connection; any HTTP answer within the timeout means that the target works. */
    probe(origin: string, request: ProbeRequest): Promise<boolean>;
    close(): Promise<void>;
}

/** What a probe sends. */
export interface ProbeRequest {
    readonly method: "GET" | "HEAD";
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly timeoutMilliseconds: number;
}

/** A target on a local network accepts within this time, or does not work. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** Below the keep-alive timeout of common servers, so that few pooled connections are closed under a request. */
const KEEP_ALIVE_MILLISECONDS = 4_000;
/** Bound of the number of pools; the oldest is closed beyond it. */
const MAXIMUM_POOLS = 4_096;

/** Makes the pools. Requests are never pipelined, so that a lost connection concerns one request. */
export function createTargetPools(): TargetPools {
    const pools = new Map<string, Pool>();

    const retire = (origin: string): void => {
        const pool = pools.get(origin);
        pools.delete(origin);
        pool?.close().catch(() => undefined);
    };

    return {
        poolFor: origin => {
            const known = pools.get(origin);
            if (known !== undefined) {
                return known;
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
            if (pools.size > MAXIMUM_POOLS) {
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
                return response.statusCode > 0;
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
