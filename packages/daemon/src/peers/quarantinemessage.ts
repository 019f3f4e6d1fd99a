/** Part of a message in which daemons report prompt parts on which targets crash. Ages travel, not times. */
import type { QuarantineReport } from "@damaskvale/core";
import { z } from "zod";

const ageSchema = z.number().nonnegative();

/** Schema of this part of a message. */
export const quarantineSchema = z.object({
    crashes: z.array(z.object({
        target: z.string(),
        startedAt: z.number().optional(),
        parts: z.array(z.string()),
        withdrawn: z.boolean().optional(),
        ageMilliseconds: ageSchema,
    })),
    proven: z.array(z.tuple([z.string(), ageSchema])),
    statements: z.array(z.object({
        part: z.string(),
        revision: z.number(),
        state: z.enum(["quarantined", "released"]),
        crashes: z.number(),
        cause: z.enum(["crashes", "trial-failed", "trial-passed", "operator"]),
        trials: z.number(),
        wasProven: z.boolean(),
        isAmbiguous: z.boolean(),
        ageMilliseconds: ageSchema,
        trialAgeMilliseconds: ageSchema.optional(),
    })),
});

/** This part of a message. */
export type QuarantineMessage = z.infer<typeof quarantineSchema>;

/** Encodes a report at the monotonic time `now`; returns `undefined` if there is nothing to report. */
export function encodeQuarantine(
    { crashes, proven, statements }: QuarantineReport,
    now: number,
): QuarantineMessage | undefined {
    if (crashes.length === 0 && proven.length === 0 && statements.length === 0) {
        return undefined;
    }
    const ageOf = (at: number): number => Math.max(0, Math.round(now - at));
    return {
        crashes: crashes.map(({ at, parts, ...crash }) => ({
            ...crash,
            parts: [...parts],
            ageMilliseconds: ageOf(at),
        })),
        proven: proven.map(({ part, at }) => [part, ageOf(at)]),
        statements: statements.map(({ statedAt, trialAt, ...statement }) => ({
            ...statement,
            ageMilliseconds: ageOf(statedAt),
            ...(trialAt === undefined ? {} : { trialAgeMilliseconds: ageOf(trialAt) }),
        })),
    };
}

/** Decodes the report of another daemon, with times of this daemon's monotonic clock. */
export function decodeQuarantine({ crashes, proven, statements }: QuarantineMessage, now: number): QuarantineReport {
    return {
        crashes: crashes.map(({ ageMilliseconds, ...crash }) => ({ ...crash, at: now - ageMilliseconds })),
        proven: proven.map(([part, ageMilliseconds]) => ({ part, at: now - ageMilliseconds })),
        statements: statements.map(({ ageMilliseconds, trialAgeMilliseconds, ...statement }) => ({
            ...statement,
            statedAt: now - ageMilliseconds,
            ...(trialAgeMilliseconds === undefined ? {} : { trialAt: now - trialAgeMilliseconds }),
        })),
    };
}
