/** Port to the platform's lagging list of hosts. */
import type { ListedHost } from "@damaskvale/core";
import type { Result } from "ts-results";

/** The platform's list of live and leaving hosts. */
export interface HostList {
    list(): Promise<Result<readonly ListedHost[], string>>;
}
