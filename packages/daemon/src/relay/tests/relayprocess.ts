/** Process that relays requests to targets whose ports are in the paths, and reports its memory and processor time. */
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createPlainRelay } from "../plainrelay.js";
import { createStreamRelay } from "../streamrelay.js";
import { createTargetConnections } from "../targetconnections.js";
import { createRelayFixture } from "./fixture.js";

const TIMEOUT_MILLISECONDS = 4_000;

const connections = createTargetConnections({ connectionsPerTarget: 4, connectTimeoutMilliseconds: 500 });

/** Peak of this process alone: the maximum that `process.resourceUsage()` returns includes its parent's memory at the start. */
function peakMemoryKibibytes(): number {
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(readFileSync("/proc/self/status", "utf8"))?.[1]);
}

const server = createServer((request, response) => {
    const [, kind, port] = (request.url ?? "").split("/");
    if (kind === "usage") {
        const { userCPUTime, systemCPUTime } = process.resourceUsage();
        const milliseconds = (userCPUTime + systemCPUTime) / 1_000;
        response.end(JSON.stringify({ kibibytes: peakMemoryKibibytes(), milliseconds }));
        return;
    }
    const fixture = createRelayFixture({ kind: kind === "stream" ? "stream" : "once", targets: ["a"] });
    const parts = {
        ...fixture.parts,
        connections: {
            ...connections,
            send: (...[, ...rest]: Parameters<typeof connections.send>) =>
                connections.send(`127.0.0.1:${port}`, ...rest),
        },
    };
    const now = performance.now();
    const context = { ...fixture.context, response, receivedAt: now, deadlineAt: now + TIMEOUT_MILLISECONDS };
    if (kind === "stream") {
        createStreamRelay(context, parts, () => undefined).start();
        return;
    }
    createPlainRelay(context, parts, () => undefined).start();
});
server.listen(0, "127.0.0.1", () => process.stdout.write(`${(server.address() as AddressInfo).port}\n`));
