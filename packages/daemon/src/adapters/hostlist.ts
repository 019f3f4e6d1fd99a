/** HTTP client for the platform's list of hosts. */
import { formatIssues, issuesFromZod, listedHostSchema } from "@damaskvale/core";
import { Err, Ok } from "ts-results";
import { Agent, request } from "undici";
import { z } from "zod";
import type { HostList } from "../ports/hostlist.js";

/** Options of the client. */
export interface HostListOptions {
    /** Base URL of the platform. */
    readonly url: string;
    readonly timeoutMilliseconds?: number;
}

/** Client for the list of hosts. `close` destroys its connections. */
export interface HostListAdapter extends HostList {
    close(): Promise<void>;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 1_500;
const hostsSchema = z.object({ hosts: z.array(listedHostSchema) });

/** Creates the client. An answer with any malformed host is rejected, so that the last valid list stays in use. */
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
                    return Err(`the platform answered ${statusCode} to a request for the list of hosts`);
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
