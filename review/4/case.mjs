/** LOST: a stopping daemon passes on a request that it cannot answer before its end, and cuts it off. */
import { Agent } from "node:http";
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

const MODELS = [{ name: "m0", size: 3, pace: 1, share: 1, loadS: 12, warmS: 1.1 }];
const HOSTS = 7;
/**
 * A long answer of the sheet: its streams have up to 77 events of 6 tokens. A pass of 6 steps at a full batch takes 49 ms, and
 * 86 ms if a piece of another prompt is read in it.
 */
const EVENTS = 60;
const EVENT_MILLISECONDS = 80;
const PROMPT_TOKENS = 1_420;
const OUTPUT_TOKENS = 6 * EVENTS;
const DEADLINE_MILLISECONDS = 8_000;
const CLIENTS = 8;
const GRACE_MILLISECONDS = 8_000;
/** Time from the first request of a client to the SIGTERM. */
const BEFORE_MILLISECONDS = 1_000;
const SPREAD_MILLISECONDS = 100;
/** A request that was sent later after the SIGTERM is not excused by the end of the grace time. */
const EXCUSED_MILLISECONDS = 3_000;

const deployment = new Deployment({ folder: import.meta.dirname, models: MODELS });

const request = {
    path: "/chat/a",
    model: "m0",
    deadline: DEADLINE_MILLISECONDS,
    prompt: PROMPT_TOKENS,
    output: OUTPUT_TOKENS,
};

/** A client that sends its next request on its connection as soon as it has an answer, while the connection is open. */
async function useConnection() {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const first = await deployment.call(0, { ...request, agent });
    // A new connection would reach another daemon.
    const isOpen = first.status === 200 && first.whole && first.headers.connection !== "close";
    const second = isOpen
        ? await deployment.call(0, { ...request, agent })
        : undefined;
    agent.destroy();
    return [first, second];
}

await play(deployment, async () => {
    const route = { name: "chat", pathPrefix: "/chat/", routeType: "streaming", backend: "pool", resumable: true };
    deployment.configure(buildConfiguration({
        version: 1,
        routes: [{ ...route, gapAimMs: 250, timeoutMs: DEADLINE_MILLISECONDS }],
        services: [{ name: "pool", maxConnections: 404, healthPath: "/health", engine: buildEngine(MODELS) }],
    }));
    for (let index = 0; index < HOSTS; index += 1) {
        const pace = { events: EVENTS, eventMilliseconds: EVENT_MILLISECONDS };
        await deployment.startModel(`i-${index}a`, "pool", "domain-0", pace);
    }
    await deployment.reservePorts(2);
    await deployment.startDaemon(0);
    await deployment.startDaemon(1);
    const openHeads = () => deployment.servers.filter(({ group }) => group?.state === "open" && group.rank === 0);
    await until("two groups are open", () => openHeads().length >= 2);
    await deployment.untilReady();
    await sleep(1_000);
    const clients = [];
    for (let index = 0; index < CLIENTS; index += 1) {
        clients.push(useConnection());
        await sleep(SPREAD_MILLISECONDS);
    }
    await sleep(BEFORE_MILLISECONDS - CLIENTS * SPREAD_MILLISECONDS);
    const stoppedAt = performance.now();
    if (TROUBLE) {
        const { child, name } = deployment.daemons[0];
        child.kill("SIGTERM");
        deployment.record(`daemon ${name} gets SIGTERM`);
        setTimeout(() => child.kill("SIGKILL"), GRACE_MILLISECONDS);
    }
    const answers = (await Promise.all(clients)).flat().filter(answer => answer !== undefined);
    const begun = new Set(deployment.servers.flatMap(({ runs }) => runs.map(({ id }) => id)));
    const lost = answers.filter(({ whole, id, sentAt, endedAt }) =>
        !whole && begun.has(id) && sentAt - stoppedAt > EXCUSED_MILLISECONDS
        && endedAt - sentAt < DEADLINE_MILLISECONDS && endedAt - stoppedAt <= GRACE_MILLISECONDS + 1_000
    );
    lost.forEach(({ id, sentAt, endedAt }) =>
        deployment.record(
            `violation LOST ${id} sent ${Math.round(sentAt - stoppedAt)} ms after the SIGTERM, ran, `
                + `cut off ${Math.round(endedAt - sentAt)} ms after it was sent`,
        )
    );
    const whole = answers.filter(answer => answer.whole && answer.status === 200).length;
    const text =
        `${answers.length} requests, ${whole} answered whole; ${lost.length} were passed on to a server and cut off`;
    return { code: lost.length > 0 ? BROKEN : HELD, text };
});
