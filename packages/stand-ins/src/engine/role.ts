/** Role of an engine: the assigned group and model, weight loading, and the health check of the other members. */
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";

/** Schema of the body of `POST /orders`. */
export const orderSchema = z.object({
    order: z.enum(["assign", "clear"]),
    group: z.string(),
    fence: z.number().int().nonnegative(),
    model: z.string().optional(),
    version: z.string().optional(),
    members: z.array(z.object({ host: z.string(), url: z.string() })).default([]),
    leader: z.string().optional(),
});

/** Order that assigns an engine to a replica group or clears its assignment. */
export type Order = z.infer<typeof orderSchema>;

/** Options of the role. */
export interface RoleOptions {
    readonly host: string;
    readonly platform?: string;
    readonly credential: string;
    readonly ignoreFence: boolean;
    readonly loadMilliseconds: number;
    readonly memberTimeoutMilliseconds: number;
}

/** State of the role. */
export interface RoleState {
    readonly state: "idle" | "loading" | "ready";
    readonly assignment?: Order;
}

/** Role of one engine. */
export interface Role {
    readonly incarnation: string;
    current(): RoleState;
    /** Applies an order. Returns false if its fencing token is lower than one that was already seen. */
    apply(order: Order): boolean;
    /** Checks, on the leader, that all other members still hold the group. Resolves to true on any other engine. */
    allMembersHoldGroup(): Promise<boolean>;
}

const WEIGHT_RETRY_MILLISECONDS = 200;

/** Creates an idle role. `onRelease` is called when the engine gives up its current assignment. */
export function createRole(options: RoleOptions, onRelease: () => void): Role {
    let role: RoleState = { state: "idle" };
    let highestFence = 0;
    let loads = 0;

    const load = async (assignment: Order): Promise<void> => {
        loads += 1;
        const number = loads;
        const isStillLoading = (): boolean => loads === number && role.state === "loading";
        while (isStillLoading() && !await fetchWeights(options.platform, assignment)) {
            await delay(WEIGHT_RETRY_MILLISECONDS);
        }
        await delay(options.loadMilliseconds);
        if (isStillLoading()) {
            role = { ...role, state: "ready" };
        }
    };
    const assign = (order: Order): void => {
        const previous = role.assignment;
        if (previous?.group === order.group && previous.model === order.model && previous.version === order.version) {
            role = { ...role, assignment: order };
            return;
        }
        onRelease();
        role = { state: "loading", assignment: order };
        void load(order);
    };

    return {
        incarnation: randomUUID(),
        current: () => role,
        apply: order => {
            if (!options.ignoreFence && order.fence < highestFence) {
                return false;
            }
            highestFence = Math.max(highestFence, order.fence);
            if (order.order === "assign") {
                assign(order);
            }
            else {
                onRelease();
                role = { state: "idle" };
            }
            return true;
        },
        allMembersHoldGroup: async () => {
            const assignment = role.assignment;
            if (assignment === undefined || assignment.leader !== options.host) {
                return true;
            }
            const others = assignment.members.filter(({ host }) => host !== options.host);
            const present = await Promise.all(others.map(({ url }) => holdsGroup(options, url, assignment.group)));
            return present.every(Boolean);
        },
    };
}

async function fetchWeights(platform: string | undefined, { model, version }: Order): Promise<boolean> {
    if (platform === undefined) {
        return true;
    }
    try {
        const response = await fetch(`${platform}/weights/${model}/${version}`);
        await response.arrayBuffer();
        return response.ok;
    }
    catch {
        return false;
    }
}

async function holdsGroup(options: RoleOptions, url: string, group: string): Promise<boolean> {
    try {
        const response = await fetch(`${url}/report`, {
            headers: { authorization: `Bearer ${options.credential}` },
            signal: AbortSignal.timeout(options.memberTimeoutMilliseconds),
        });
        const report = await response.json() as { group?: string; };
        return response.ok && report.group === group;
    }
    catch {
        return false;
    }
}
