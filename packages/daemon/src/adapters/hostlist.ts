/** Adapter of the platform's list of hosts over HTTP. */
import { formatIssues, issuesFromZod, listedHostSchema } from "@damaskvale/core";
import { Err, Ok } from "ts-results";
import { Agent, request } from "undici";
import { z } from "zod";
import type { HostList } from "../ports/hostlist.js";

/** Options of the adapter. */
export interface HostListOptions {
    /** Base URL of the platform. */
    readonly url: string;
    readonly timeoutMilliseconds?: number;
}

/** Adapter of the list of hosts, with its connections. */
export interface HostListAdapter extends HostList {
    close(): Promise<void>;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 1_500;
const hostsSchema = z.object({ hosts: z.array(listedHostSchema) });

/** Makes the adapter. An answer with one malformed host is refused whole, so that the last good list stays in use. */
export function createHostList(options: HostListOptions): HostListAdapter {
    const agent = new Agent({ connect: { timeout: DEFAULT_TIMEOUT_MILLISECONDS }, pipelining: 1 });
    const url = `${options.url.replace(/\/$/, "")}/hosts`;
    return {
        list: async () => {
            try {
                const signal = AbortSignal.timeout(options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS);
                const { statusCode, body } = await request(url, { dispatcher: agent, signal });
                if (statusCode !== 200) {
                    await body.dump();
                    return Err(`the platform answered ${statusCode} to a read of the hosts`);
                }
                const hosts = hostsSchema.safeParse(await body.json());
                return hosts.success ? Ok(hosts.data.hosts) : Err(formatIssues(issuesFromZod(hosts.error)));
            }
            catch (error) {
                return Err((error as Error).message);
            }
        },
        close: () => agent.destroy(),
    };
}
