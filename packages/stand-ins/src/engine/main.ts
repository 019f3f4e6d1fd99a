/** Entry point of the engine stand-in, which simulates the engine of one host. */
import { parseArgs } from "node:util";
import { exitWithParent, type StandInContext, startStandIn } from "../shared/server.js";
import { createBatch } from "./batch.js";
import { createPrefixCache } from "./cache.js";
import { createRole } from "./role.js";
import { type EngineParts, engineRoutes } from "./routes.js";

const { values: flags } = parseArgs({
    options: {
        "port": { type: "string", default: "0" },
        "host": { type: "string" },
        "platform": { type: "string" },
        "credential": { type: "string", default: "credential-of-targets" },
        "ignore-fence": { type: "boolean", default: false },
        "load-milliseconds": { type: "string", default: "300" },
        "member-check-milliseconds": { type: "string", default: "200" },
        "member-timeout-milliseconds": { type: "string", default: "800" },
        "batch": { type: "string", default: "16" },
        "queue": { type: "string", default: "64" },
        "token-milliseconds": { type: "string", default: "10" },
        "block-milliseconds": { type: "string", default: "2" },
        "retain-milliseconds": { type: "string", default: "10000" },
        "cache-blocks": { type: "string", default: "4096" },
        "cache-event-lag-milliseconds": { type: "string", default: "500" },
        "cache-events-retained": { type: "string", default: "1000" },
        "cache-event-lost-every": { type: "string", default: "50" },
        "load-lag-milliseconds": { type: "string", default: "200" },
        "exit-with-parent": { type: "boolean", default: false },
    },
});

const LOAD_SAMPLE_MILLISECONDS = 50;

if (flags["exit-with-parent"]) {
    exitWithParent();
}
if (flags.host === undefined) {
    process.stderr.write("The flag --host is required.\n");
    process.exit(2);
}
void startStandIn({
    port: Number(flags.port),
    credential: flags.credential,
    routes: context => engineRoutes(createParts(flags.host!, context)),
});

function createParts(host: string, { faults, journal }: StandInContext): EngineParts {
    const cache = createPrefixCache({
        blocks: Number(flags["cache-blocks"]),
        lagMilliseconds: Number(flags["cache-event-lag-milliseconds"]),
        retainedEvents: Number(flags["cache-events-retained"]),
        lossInterval: Number(flags["cache-event-lost-every"]),
    });
    const batch = createBatch(
        {
            size: Number(flags.batch),
            queueLength: Number(flags.queue),
            blockMilliseconds: Number(flags["block-milliseconds"]),
            retainMilliseconds: Number(flags["retain-milliseconds"]),
        },
        cache,
        journal,
    );
    const role = createRole({
        host,
        platform: flags.platform,
        credential: flags.credential,
        ignoreFence: flags["ignore-fence"],
        loadMilliseconds: Number(flags["load-milliseconds"]),
        memberTimeoutMilliseconds: Number(flags["member-timeout-milliseconds"]),
    }, () => {
        batch.abortAll(Date.now());
        cache.clear(Date.now());
    });
    let checking = false;
    const checkMembers = async (): Promise<void> => {
        const { running, queued } = batch.load();
        if (checking || running + queued === 0) {
            return;
        }
        checking = true;
        if (!await role.allMembersHoldGroup()) {
            batch.abortAll(Date.now());
        }
        checking = false;
    };
    const laggedLoad = startLoadSamples(batch.load, Number(flags["load-lag-milliseconds"]));
    setInterval(() => {
        if (!faults.isActive("freeze", "POST", "/v1/chat/completions")) {
            batch.tick(Date.now());
        }
    }, Number(flags["token-milliseconds"]));
    setInterval(() => void checkMembers(), Number(flags["member-check-milliseconds"]));
    return { host, role, batch, cache, journal, laggedLoad, onAttemptStart: () => void checkMembers() };
}

function startLoadSamples(
    load: () => { readonly running: number; readonly queued: number; },
    lagMilliseconds: number,
): EngineParts["laggedLoad"] {
    let samples = [{ at: Date.now(), ...load() }];
    setInterval(() => {
        const now = Date.now();
        const newestVisible = samples.findLastIndex(({ at }) => at <= now - lagMilliseconds);
        samples = [...samples.slice(Math.max(0, newestVisible)), { at: now, ...load() }];
    }, LOAD_SAMPLE_MILLISECONDS);
    return () => {
        const now = Date.now();
        const { at, running, queued } = samples.findLast(sample => sample.at <= now - lagMilliseconds) ?? samples[0]!;
        return { running, queued, ageMilliseconds: now - at };
    };
}
