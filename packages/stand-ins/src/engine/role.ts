/** Role of an engine: the group and model that it was ordered to hold, loading, and the checks of its members. */
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";

/** Schema of an order. */
export const orderSchema = z.object({
    order: z.enum(["assign", "clear"]),
    group: z.string(),
    fence: z.number().int().nonnegative(),
    model: z.string().optional(),
    version: z.string().optional(),
    members: z.array(z.object({ host: z.string(), url: z.string() })).default([]),
    leader: z.string().optional(),
});

/** Order to an engine. */
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

/** Current role. */
export interface RoleState {
    readonly state: "idle" | "loading" | "ready";
    readonly assignment?: Order;
}

/** Role of one engine. */
export interface Role {
    readonly incarnation: string;
    current(): RoleState;
    /** Applies an order; returns false if its fencing number is old. */
    apply(order: Order): boolean;
    /** As the leader: whether all other members still hold the group. True for any other engine. */
    allMembersHoldGroup(): Promise<boolean>;
}

const WEIGHT_RETRY_MILLISECONDS = 200;

/** Makes an idle role. `onChange` is called when the engine stops holding what it held. */
export function createRole(options: RoleOptions, onChange: () => void): Role {
    let role: RoleState = { state: "idle" };
    let highestFence = 0;

    const load = async (assignment: Order): Promise<void> => {
        const wanted = (): boolean => role.assignment?.group === assignment.group && role.state === "loading";
        while (wanted() && !await fetchWeights(options.platform, assignment)) {
            await delay(WEIGHT_RETRY_MILLISECONDS);
        }
        await delay(options.loadMilliseconds);
        if (wanted()) {
            role = { ...role, state: "ready" };
        }
    };
    const assign = (order: Order): void => {
        const held = role.assignment;
        if (held?.group === order.group && held.model === order.model && held.version === order.version) {
            role = { ...role, assignment: order };
            return;
        }
        onChange();
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
                onChange();
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
