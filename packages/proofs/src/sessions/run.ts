/** Runs the sessions, each on a fresh cluster, and compares them with their golden files. */
import { existsSync } from "node:fs";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { startSmallCluster } from "../failures/fixture.js";
import { createRecorder } from "./recorder.js";
import { scripts } from "./scripts.js";

/** Directory of the golden files. */
export const goldenDirectory = join(__dirname, "..", "..", "golden");

/** Runs one session and returns its normalised steps as formatted JSON. */
export async function recordSession(name: string): Promise<string> {
    const cluster = await startSmallCluster({ daemons: 2, engines: 2, members: 2, replicas: 1 });
    try {
        const recorder = await createRecorder(cluster);
        await scripts[name]!(recorder);
        return `${JSON.stringify(recorder.steps(), undefined, 2)}\n`;
    }
    finally {
        await cluster.stop();
    }
}

/** Returns the content of a session's golden file, or an empty string if there is none. */
export async function readGolden(name: string): Promise<string> {
    const path = join(goldenDirectory, `${name}.json`);
    return existsSync(path) ? readFile(path, "utf8") : "";
}

/** Writes the golden file of a session. */
export async function writeGolden(name: string, recorded: string): Promise<void> {
    await mkdir(goldenDirectory, { recursive: true });
    await writeFile(join(goldenDirectory, `${name}.json`), recorded);
}
