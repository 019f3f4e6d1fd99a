/** HTTP routes of the platform stand-in: log, host list and weight store. */
import { z } from "zod";
import type { Fault } from "../shared/faults.js";
import { hashBody } from "../shared/journal.js";
import {
    createErrorReply,
    parseJsonBody,
    type Reply,
    type Route,
    type StandInContext,
    type StandInRequest,
} from "../shared/server.js";
import { createHostList, hostsSchema } from "./hosts.js";
import { createLog, type Log, type LogOptions } from "./log.js";

/** Options of the platform stand-in. */
export interface PlatformOptions extends LogOptions {
    readonly hostLagMilliseconds: number;
    /** Downloads that the weight store starts per second. */
    readonly weightsPerSecond: number;
    /** Duration of one download. */
    readonly weightMilliseconds: number;
}

const appendSchema = z.object({ value: z.unknown() });
const readSchema = z.object({
    from: z.coerce.number().int().nonnegative().default(0),
    limit: z.coerce.number().int().positive().max(10_000).default(1000),
    waitMs: z.coerce.number().nonnegative().max(60_000).default(0),
});

/** Creates the routes. */
export function platformRoutes(options: PlatformOptions, context: StandInContext): Route[] {
    const log = createLog(options);
    const hosts = createHostList(options.hostLagMilliseconds);
    const onFault: Partial<Record<Fault["fault"], (fault: Fault) => void>> = {
        outage: () => log.wakeAll(),
        retentionCut: ({ keep }) => log.cut(keep),
    };
    context.faults.subscribe(fault => onFault[fault.fault]?.(fault));
    return [
        ...logRoutes(log, context),
        {
            method: "GET",
            pattern: /^\/hosts$/,
            handle: () => ({ status: 200, body: { hosts: hosts.visibleHosts(Date.now()) } }),
        },
        {
            method: "POST",
            pattern: /^\/stand-in\/hosts$/,
            control: true,
            handle: request => {
                hosts.set(hostsSchema.parse(parseJsonBody(request)).hosts, Date.now());
                return { status: 200, body: {} };
            },
        },
        weightRoute(options, context),
    ];
}

function logRoutes(log: Log, { faults, journal }: StandInContext): Route[] {
    const append = (request: StandInRequest): Reply => {
        const stream = request.parameters[0]!;
        const waitMilliseconds = log.admit(Date.now());
        if (waitMilliseconds > 0) {
            return createErrorReply(429, "rate_limited", "too many appends", {
                "retry-after": String(Math.ceil(waitMilliseconds / 1000)),
            });
        }
        const { value } = appendSchema.parse(parseJsonBody(request));
        const offset = log.append(stream, value, Date.now());
        journal.finish(
            journal.start("append", { bodyHash: hashBody(request.body), detail: { stream, offset } }),
            "done",
        );
        return { status: 200, body: { offset } };
    };
    const read = async (request: StandInRequest): Promise<Reply> => {
        const stream = request.parameters[0]!;
        const { from, limit, waitMs } = readSchema.parse(Object.fromEntries(request.query));
        const page = log.read(stream, from, limit, Date.now());
        if (page.entries.length > 0 || waitMs === 0 || from < page.firstOffset) {
            return { status: 200, body: page };
        }
        await log.wait(stream, waitMs);
        await faults.waitUntilCleared("freeze", "GET", request.path);
        if (faults.isActive("outage", "GET", request.path)) {
            return createErrorReply(503, "outage", "the log is unavailable");
        }
        return { status: 200, body: log.read(stream, from, limit, Date.now()) };
    };
    return [
        { method: "POST", pattern: /^\/log\/([^/]+)\/append$/, handle: append },
        { method: "GET", pattern: /^\/log\/([^/]+)\/entries$/, handle: read },
    ];
}

function weightRoute(options: PlatformOptions, { journal }: StandInContext): Route {
    let nextStartAt = 0;
    return {
        method: "GET",
        pattern: /^\/weights\/([^/]+)\/([^/]+)$/,
        handle: async ({ parameters: [model, version] }) => {
            const now = Date.now();
            if (nextStartAt > now) {
                return createErrorReply(429, "rate_limited", "too many loads", {
                    "retry-after": String(Math.ceil((nextStartAt - now) / 1000)),
                });
            }
            nextStartAt = now + 1000 / options.weightsPerSecond;
            const entry = journal.start("weights", { detail: { model, version } });
            await new Promise(resolve => setTimeout(resolve, options.weightMilliseconds));
            journal.finish(entry, "done");
            return { status: 200, body: { model, version, bytes: 0 } };
        },
    };
}
