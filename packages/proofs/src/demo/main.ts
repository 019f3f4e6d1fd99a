/** Command `npm run demo`: runs a complete deployment of real processes and sends requests of both users. */
import { Command, CommandHelp, Flags, flush, handle } from "@oclif/core";
import { writeFile } from "node:fs/promises";
import { type Cluster, secrets, startCluster } from "../cluster/cluster.js";
import { fetchJson } from "../cluster/control.js";
import { readServing } from "../cluster/serving.js";
import { waitFor } from "../cluster/wait.js";
import { type DemoAnswer, sendDemoRequests } from "./requests.js";
import { callerKeys, demoCluster, demoModels, demoRows } from "./scenario.js";

const SERVING_TIMEOUT_MILLISECONDS = 60_000;
const OUTPUT_LINES = 20;

class Demo extends Command {
    static override readonly id = "demo";
    static override readonly description = "Runs a deployment of real processes with requests of both users.";
    static override readonly flags = {
        "exit": Flags.boolean({ description: "End after the answers." }),
        "state-file": Flags.string({ description: "Write addresses, process ids and keys as JSON to this file." }),
        "help": Flags.boolean({ char: "h", description: "Show this help." }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(Demo);
        if (flags.help) {
            this.log(new CommandHelp(Demo as unknown as Command.Loadable, this.config, {} as never).generate());
            return;
        }
        const interrupted = new Promise<void>(resolve => {
            ["SIGINT", "SIGTERM"].forEach(signal => process.once(signal, () => resolve()));
        });
        this.log("Starting the platform, the engines, the services and the daemons.");
        const cluster = await startCluster(demoCluster);
        try {
            const finished = this.serve(cluster, flags["state-file"]).then(answers => ({ answers }));
            const completed = await Promise.race([finished, interrupted.then(() => undefined)]);
            if (completed !== undefined && completed.answers.some(({ status }) => status >= 300)) {
                this.error("Not every request was answered.");
            }
            if (completed !== undefined && !flags.exit) {
                this.log("The demo stays up. Press Ctrl+C to end it.");
                await interrupted;
            }
        }
        catch (error) {
            this.logToStderr(cluster.output(OUTPUT_LINES));
            throw error;
        }
        finally {
            await cluster.stop({ graceful: true });
        }
        this.log("All processes have ended.");
    }

    private async serve(cluster: Cluster, stateFile: string | undefined): Promise<readonly DemoAnswer[]> {
        const firstDaemon = cluster.daemons[0]!;
        this.log(`${cluster.daemons.length} daemons and ${cluster.engines.length} engines run. Loading the table.`);
        await firstDaemon.control.setRows(demoRows(cluster.services), "everywhere");
        await this.waitUntilServing(cluster);
        if (stateFile !== undefined) {
            await writeFile(stateFile, `${JSON.stringify(describe(cluster), undefined, 4)}\n`);
        }
        return sendDemoRequests(cluster.daemons, answer => this.log(formatAnswer(answer)));
    }

    private async waitUntilServing(cluster: Cluster): Promise<void> {
        const urls = cluster.engines.map(({ url }) => url);
        let lastProgress = "";
        await waitFor("replica group of each model", SERVING_TIMEOUT_MILLISECONDS, async () => {
            const serving = await readServing(urls, demoModels);
            const progress = serving.map(({ model, ready, wanted }) => `${model} ${ready}/${wanted}`).join(", ");
            if (progress !== lastProgress) {
                lastProgress = progress;
                this.log(`Groups ready: ${progress}.`);
            }
            return serving.every(({ ready, wanted }) => ready >= wanted);
        });
        // Daemons learn of ready groups with a delay, which is longer for groups in other data centres.
        await waitFor("service at all daemons", SERVING_TIMEOUT_MILLISECONDS, async () => {
            const answers = await Promise.all(
                cluster.daemons.flatMap(({ url }) =>
                    Object.entries(readinessProbes).map(probe => isServing(url, probe))
                ),
            );
            return answers.every(serving => serving);
        });
    }
}

/** Model that is requested as each of these teams to check that a daemon is ready. */
const readinessProbes = { "apostille-routing": "certification-notes", "care-letters": "care-letters" } as const;

async function isServing(url: string, [team, model]: readonly [string, string]): Promise<boolean> {
    const body = { model, max_tokens: 1, messages: [{ role: "user", content: "Are you ready?" }] };
    const { status } = await fetchJson(`${url}/v1/chat/completions`, {
        token: callerKeys[team as keyof typeof callerKeys],
        body,
    });
    return status === 200;
}

function describe(cluster: Cluster): unknown {
    const summary = ({ name, url, child }: Cluster["services"][number]) => ({ name, url, pid: child.pid });
    return {
        daemons: cluster.daemons.map(daemon => ({ ...summary(daemon), dataCentre: daemon.dataCentre })),
        platform: { url: cluster.platform.url, pid: cluster.platform.child.pid },
        targets: cluster.engines.map(engine => ({
            ...summary(engine),
            host: engine.name,
            dataCentre: engine.spec.dataCentre,
            fabricDomain: engine.spec.fabricDomain,
        })),
        services: cluster.services.map(summary),
        models: demoModels.map(({ name }) => name),
        callerKeys,
        operatorToken: secrets.operatorToken,
    };
}

function formatAnswer({ title, daemon, status, outcome, requestId, milliseconds, text }: DemoAnswer): string {
    return `\n${title} by ${daemon}: ${status}, ${outcome}, ${milliseconds} ms, request ${requestId}\n    ${text}`;
}

void Demo.run(process.argv.slice(2), __dirname).then(() => flush(), handle);
