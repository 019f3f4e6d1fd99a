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

/** Schema of the report of an engine about its own state. Ages are in milliseconds. */
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

/** Schema of a formed group in the state of the groups stream. */
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
/** Formed group. `fence` is its fencing token: the offset of the record that formed it or last took it over. */
export type Group = z.infer<typeof groupSchema>;

/** A report with the time at which it was taken, in milliseconds of the monotonic clock of the daemon that uses it. */
export interface Observation {
    readonly report: Report;
    readonly observedAt: number;
}
