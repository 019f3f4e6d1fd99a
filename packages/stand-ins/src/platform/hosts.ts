/** Host list of the platform stand-in. Readers see changes after a delay. */
import { z } from "zod";

/** Schema of one listed host. */
export const hostSchema = z.object({
    host: z.string(),
    dataCentre: z.string(),
    fabricDomain: z.string(),
    url: z.string(),
    state: z.enum(["live", "leaving"]).default("live"),
    accelerators: z.number().int().positive().default(1),
});

/** Schema of the body of `POST /stand-in/hosts`, which replaces the whole list. */
export const hostsSchema = z.object({ hosts: z.array(hostSchema) });

/** One listed host. */
export type Host = z.infer<typeof hostSchema>;

/** Host list with delayed reads. */
export interface HostList {
    set(hosts: readonly Host[], now: number): void;
    /** Returns the list as of `lagMilliseconds` before `now`. */
    visibleHosts(now: number): readonly Host[];
}

/** Creates an empty list. */
export function createHostList(lagMilliseconds: number): HostList {
    let versions: { readonly at: number; readonly hosts: readonly Host[]; }[] = [];
    return {
        set: (hosts, now) => {
            versions = [...versions, { at: now, hosts }];
        },
        visibleHosts: now => {
            const visible = versions.filter(({ at }) => at + lagMilliseconds <= now);
            versions = versions.slice(Math.max(0, visible.length - 1));
            return visible.at(-1)?.hosts ?? [];
        },
    };
}
