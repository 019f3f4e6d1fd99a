/** Entry point of the service stand-in, a plain HTTP service whose writes are not idempotent. */
import { parseArgs } from "node:util";
import { exitWithParent, startStandIn } from "../shared/server.js";
import { serviceRoutes } from "./routes.js";

const { values: flags } = parseArgs({
    options: {
        "port": { type: "string", default: "0" },
        "credential": { type: "string", default: "credential-of-targets" },
        "work-milliseconds": { type: "string", default: "20" },
        "exit-with-parent": { type: "boolean", default: false },
    },
});

if (flags["exit-with-parent"]) {
    exitWithParent();
}
void startStandIn({
    port: Number(flags.port),
    credential: flags.credential,
    routes: context => serviceRoutes(Number(flags["work-milliseconds"]), context),
});
