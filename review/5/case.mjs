/** CONFIG: daemons that reach the store go on with a revoked key, because the two that read for them are cut from the store. */
import { BROKEN, buildConfiguration, Deployment, HELD, play, sleep, TROUBLE, until } from "../common/deployment.mjs";

const DAEMONS = 6;
/** `cut`: two machines are partitioned from the store. `away`: the store turns a third of the machines away. */
const VARIANTS = {
    cut: { mode: "silent", milliseconds: 5_500, boundMilliseconds: 2_000 },
    away: { mode: "reset", milliseconds: 9_000, boundMilliseconds: 7_000 },
};
const { mode, milliseconds, boundMilliseconds } = VARIANTS[process.env.VARIANT ?? "cut"];
/** In this zone, the first daemon is one that watches the configuration, and the second is another and the collector. */
const AFFECTED = [0, 1];
const STEADY_MILLISECONDS = 16_000;
const REVOKED_AFTER_MILLISECONDS = 300;

const deployment = new Deployment({ folder: import.meta.dirname, zone: "pta-hall-a" });
const services = ["portal", "mirror"].map(name => ({ name, maxConnections: 110, healthPath: "/health" }));

/** Returns a version in which the route `fee` leads to the given service. */
function configurationOf(version, feeService, keys) {
    const status = { name: "status", pathPrefix: "/status/", routeType: "safe", backend: "portal" };
    const fee = { name: "fee", pathPrefix: "/fee/", routeType: "safe", backend: feeService };
    return buildConfiguration({ version, routes: [status, fee], services, keys });
}

await play(deployment, async () => {
    deployment.configure(configurationOf(1, "portal", ["key-red", "key-old"]));
    const portals = [];
    for (const id of ["i-p1", "i-p2", "i-p3"]) {
        portals.push(await deployment.startPlain(id, "portal"));
    }
    await deployment.startPlain("i-m1", "mirror");
    await deployment.reservePorts(DAEMONS);
    for (let index = 0; index < DAEMONS; index += 1) {
        await deployment.startDaemon(index);
    }
    await deployment.untilReady();
    await sleep(STEADY_MILLISECONDS);
    // Versions are followed in steady state.
    deployment.configure(configurationOf(4, "portal", ["key-red", "key-old", "key-new"]));
    await until("all daemons know the new key", async () => {
        const answers = await Promise.all(
            deployment.daemons.map((_, index) => deployment.call(index, { path: "/status/a", key: "key-new" })),
        );
        return answers.every(({ status }) => status === 200);
    }, 5_000);
    await sleep(STEADY_MILLISECONDS);
    const affected = AFFECTED.map(index => deployment.daemons[index]);
    if (TROUBLE) {
        affected.forEach(({ door, name }) => {
            deployment.store.setMode(door, mode);
            deployment.record(`${name} does not reach the store any more`);
        });
    }
    const cutAt = performance.now();
    await sleep(REVOKED_AFTER_MILLISECONDS);
    // A route moves to another service, and a key is taken away.
    const acknowledgedAt = deployment.configure(configurationOf(9, "mirror", ["key-red", "key-new"]));
    const calls = [];
    while (performance.now() < cutAt + milliseconds) {
        deployment.daemons.forEach((_, index) => {
            calls.push(deployment.call(index, { path: "/fee/a" }));
            calls.push(deployment.call(index, { path: "/status/a", key: "key-old" }));
        });
        await sleep(100);
    }
    affected.forEach(({ door }) => deployment.store.setMode(door, "serve"));
    deployment.record("all machines reach the store");
    const answers = await Promise.all(calls);
    const ran = new Set(portals.flatMap(({ runs }) => runs.map(({ id }) => id)));
    const inTouch = deployment.daemons.filter(daemon => !affected.includes(daemon)).map(({ name }) => name);
    const late = answers.filter(({ sentAt, daemon }) =>
        inTouch.includes(daemon) && sentAt - acknowledgedAt > boundMilliseconds
    );
    // Both kinds may not run there any more: the route leads elsewhere, or the key is gone.
    const broken = late.filter(({ id }) => ran.has(id));
    broken.forEach(({ id, path, daemon, sentAt }) => {
        const age = Math.round(sentAt - acknowledgedAt);
        const what = path === "/fee/a" ? "ran at the old service" : "ran with a dropped key";
        deployment.record(`violation CONFIG ${id} ${what} through ${daemon}, sent ${age} ms after`);
    });
    const moved = broken.filter(({ path }) => path === "/fee/a").length;
    const text =
        `${late.length} requests were sent later than ${boundMilliseconds} ms after the acknowledgement to daemons in `
        + `touch; ${moved} ran at the old service, ${broken.length - moved} with a dropped key`;
    return { code: broken.length > 0 ? BROKEN : HELD, text };
});
