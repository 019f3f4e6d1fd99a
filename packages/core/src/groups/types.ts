/** Types shared by the modules that decide about replica groups. */
import { z } from "zod";

/** Schema of a host as the platform lists it. */
export const listedHostSchema = z.object({
    host: z.string().min(1),
    dataCentre: z.string().min(1),
    fabricDomain: z.string().min(1),
    url: z.url(),
    state: z.enum(["live", "leaving"]),
    accelerators: z.number().int().positive().default(1),
});

/** Schema of the report of an engine about itself. Ages are in milliseconds. */
export const reportSchema = z.object({
    host: z.string().min(1),
    incarnation: z.string().min(1),
    group: z.string().optional(),
    fence: z.number().int().nonnegative().optional(),
    model: z.string().optional(),
    version: z.string().optional(),
    state: z.enum(["idle", "loading", "ready"]),
    load: z.object({
        running: z.number().int().nonnegative(),
        queued: z.number().int().nonnegative(),
        ageMilliseconds: z.number().nonnegative(),
    }),
});

/** Schema of a formed group, as the fold of the groups stream keeps it. */
export const groupSchema = z.object({
    group: z.string().min(1),
    model: z.string().min(1),
    version: z.string().min(1),
    members: z.array(z.string().min(1)).min(1),
    leader: z.string().min(1),
    holder: z.string().min(1),
    fence: z.number().int().nonnegative(),
});

/** Host as the platform lists it. */
export type ListedHost = z.infer<typeof listedHostSchema>;
/** Report of an engine. */
export type Report = z.infer<typeof reportSchema>;
/** Formed group. `fence` is the offset of the record that formed it or took it over last. */
export type Group = z.infer<typeof groupSchema>;

/** A report, and when it was taken on the monotonic clock of the daemon that uses it, in milliseconds. */
export interface Observation {
    readonly report: Report;
    readonly observedAt: number;
}
