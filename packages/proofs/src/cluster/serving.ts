/** Counts ready replica groups from the reports of the engines. */
import { secrets } from "./cluster.js";
import { fetchJson } from "./control.js";

/** Number of groups of one model whose members are all ready with the same fencing token. */
export interface ServingGroups {
    readonly model: string;
    readonly ready: number;
    readonly wanted: number;
}

interface EngineReport {
    readonly group?: string;
    readonly fence?: number;
    readonly model?: string;
    readonly state: string;
}

/** Reads the reports of all engines and counts the ready groups of each model. */
export async function readServing(
    engineUrls: readonly string[],
    models: readonly { readonly name: string; readonly members: number; readonly groups: number; }[],
): Promise<readonly ServingGroups[]> {
    const answers = await Promise.all(
        engineUrls.map(url => fetchJson<EngineReport>(`${url}/report`, { token: secrets.targetCredential })),
    );
    const ready = answers.map(({ body }) => body).filter(({ state }) => state === "ready");
    return models.map(({ name, members, groups }) => {
        const counts = ready.filter(({ model }) => model === name).reduce(
            (counts, { group, fence }) => counts.set(`${group} ${fence}`, (counts.get(`${group} ${fence}`) ?? 0) + 1),
            new Map<string, number>(),
        );
        return { model: name, ready: [...counts.values()].filter(count => count === members).length, wanted: groups };
    });
}
