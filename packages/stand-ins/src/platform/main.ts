/** Entry point of the platform stand-in: append-only log, delayed host list and rate-limited weight store. */
import { parseArgs } from "node:util";
import { exitWithParent, startStandIn } from "../shared/server.js";
import { platformRoutes } from "./routes.js";

const { values: flags } = parseArgs({
    options: {
        "port": { type: "string", default: "0" },
        "retention-count": { type: "string", default: "100000" },
        "retention-milliseconds": { type: "string", default: "86400000" },
        "appends-per-second": { type: "string", default: "400" },
        "host-lag-milliseconds": { type: "string", default: "500" },
        "weights-per-second": { type: "string", default: "20" },
        "weight-milliseconds": { type: "string", default: "50" },
        "exit-with-parent": { type: "boolean", default: false },
    },
});

if (flags["exit-with-parent"]) {
    exitWithParent();
}
void startStandIn({
    port: Number(flags.port),
    routes: context =>
        platformRoutes({
            retentionCount: Number(flags["retention-count"]),
            retentionMilliseconds: Number(flags["retention-milliseconds"]),
            appendsPerSecond: Number(flags["appends-per-second"]),
            hostLagMilliseconds: Number(flags["host-lag-milliseconds"]),
            weightsPerSecond: Number(flags["weights-per-second"]),
            weightMilliseconds: Number(flags["weight-milliseconds"]),
        }, context),
});
