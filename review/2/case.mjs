/** RECOVER: after all daemons were killed, the planner of a domain stops for good, because a spare has seen a higher epoch. */
import {
    BROKEN,
    buildConfiguration,
    buildEngine,
    Deployment,
    HELD,
    play,
    sleep,
    TROUBLE,
    until,
} from "../common/deployment.mjs";

/** The larger model of the sheets, in a domain of 10 servers: one group of 6, and 4 spares. */
const MODELS = [{ name: "m0", size: 6, pace: 1, share: 1, loadS: 16, warmS: 1.6 }];
const SPARES = 4;
/** Ids of the servers that start at first, and of those that replace the spares later, without an order. */
const HOSTS = ["i-7f3a", "i-02d9", "i-c41e", "i-9e16", "i-31b1", "i-5d6e", "i-e80b", "i-1a77", "i-b2c0", "i-64f5"];
const REPLACEMENTS = ["i-8d12", "i-0b93", "i-f7a4", "i-46ce"];
/** A server that leaves goes on for `drainMs` and a little longer. */
const LEAVE_MILLISECONDS = 2_500;
const DAEMONS = 2;
const DOWN_MILLISECONDS = 1_300;
const RECOVER_MILLISECONDS = 12_000;
const MEASURED_MILLISECONDS = 6_000;
/** `kill` and `crash` play only one of the two disruptions. */
const KILLS = TROUBLE && process.env.TROUBLE !== "crash";
const CRASHES = TROUBLE && process.env.TROUBLE !== "kill";

const deployment = new Deployment({ folder: import.meta.dirname, models: MODELS });

/** Sends requests for some time and returns the share that was served. */
async function measure(milliseconds) {
    const end = performance.now() + milliseconds;
    const calls = [];
    for (let index = 0; performance.now() < end; index += 1) {
        calls.push(deployment.call(index % DAEMONS, { path: "/chat/a", model: "m0" }));
        await sleep(100);
    }
    const answers = await Promise.all(calls);
    return answers.filter(({ status, whole }) => status === 200 && whole).length / answers.length;
}

await play(deployment, async () => {
    const route = { name: "chat", pathPrefix: "/chat/", routeType: "streaming", backend: "pool", resumable: true };
    deployment.configure(buildConfiguration({
        version: 1,
        routes: [{ ...route, gapAimMs: 250 }],
        services: [{ name: "pool", maxConnections: 404, healthPath: "/health", engine: buildEngine(MODELS) }],
    }));
    await deployment.reservePorts(DAEMONS);
    for (let index = 0; index < DAEMONS; index += 1) {
        await deployment.startDaemon(index);
    }
    await sleep(1_000);
    for (const id of HOSTS) {
        await deployment.startModel(id, "pool", "domain-0");
    }
    const openHead = () => deployment.servers.find(({ group }) => group?.state === "open" && group.rank === 0);
    await until("a group is open", () => openHead() !== undefined, 30_000);
    const readySpares = () =>
        deployment.servers.filter(({ isAlive, draining, lastModel, group }) =>
            isAlive && !draining && lastModel === "m0" && group === undefined
        );
    const untilSparesReady = () =>
        until("all spares have run the model once", () => readySpares().length === SPARES, 30_000);
    await untilSparesReady();
    // The spares are replaced, one at a time: the new one starts first, the old one drains.
    const replaced = readySpares();
    for (const [index, id] of REPLACEMENTS.entries()) {
        deployment.record(`${id} replaces ${replaced[index].id}`);
        await deployment.startModel(id, "pool", "domain-0");
        await replaced[index].leave(LEAVE_MILLISECONDS);
        await untilSparesReady();
    }
    const before = await measure(4_000);
    if (CRASHES) {
        const lost = deployment.byId(openHead().group.members[1]);
        deployment.record(`member ${lost.id} is lost for good`);
        lost.crash();
    }
    if (KILLS) {
        await Promise.all(deployment.daemons.map((_, index) => deployment.kill(index)));
        await sleep(DOWN_MILLISECONDS);
        for (let index = 0; index < DAEMONS; index += 1) {
            await deployment.startDaemon(index);
        }
        await deployment.untilReady();
    }
    deployment.record("the machines are back");
    const during = await measure(RECOVER_MILLISECONDS);
    deployment.record("recoverS is over");
    const after = await measure(MEASURED_MILLISECONDS);
    const refused = deployment.servers.flatMap(server => server.refusedOrders);
    const percent = share => `${Math.round(100 * share)}%`;
    const orders = refused.map(({ operation, epoch, fencingToken, status }) =>
        `${operation} epoch ${epoch} token ${fencingToken}: ${status}`
    );
    const text = `served: ${percent(before)} before the final fault, ${percent(during)} within recoverS after it, `
        + `${percent(after)} later; refused orders: ${orders.join("; ") || "none"}`;
    return { code: before >= 0.25 && after < 0.25 ? BROKEN : HELD, text };
});
