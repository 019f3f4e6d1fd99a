/** Port to the platform's list of hosts, which lags behind their actual state. */
import type { ListedHost } from "@damaskvale/core";
import type { Result } from "ts-results";

/** The platform's list of live and leaving hosts. */
export interface HostList {
    list(): Promise<Result<readonly ListedHost[], string>>;
}
