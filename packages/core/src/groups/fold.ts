/** Fold of the groups stream of a data centre: host ownership, groups, and renewals of the holders' leases. */
import { z } from "zod";
import { issue } from "../issue.js";
import type { Author } from "../stream/record.js";
import type { FoldDefinition, RecordContext, RecordResult } from "../stream/types.js";
import { BASIS_WINDOW } from "../stream/window.js";
import { LEASE_MILLISECONDS, MAXIMUM_LEASE_MILLISECONDS } from "./constants.js";
import { groupSchema } from "./types.js";

const name = z.string().min(1).max(200);
const offset = z.number().int().nonnegative();

/** Schema of the body of a record of the groups stream. */
export const groupsBodySchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("form"),
        group: name,
        model: name,
        version: name,
        members: z.array(z.object({ host: name, revision: offset })).min(1).max(64),
        leader: name,
        holder: name,
    }),
    z.object({ kind: z.literal("dissolve"), group: name, fence: offset, reason: z.string().max(500) }),
    z.object({
        kind: z.literal("renew"),
        holder: name,
        durationMilliseconds: z.number().int().positive().max(MAXIMUM_LEASE_MILLISECONDS),
    }),
    z.object({
        kind: z.literal("takeover"),
        group: name,
        fence: offset,
        previousHolder: name,
        renewalOffset: offset,
        holder: name,
    }),
]);

/** Schema of a group in the state. `incarnation` identifies the holder's process that formed it or took it over. */
export const heldGroupSchema = groupSchema.extend({ incarnation: z.string().min(1) });

/** Schema of the ownership of a host. `revision` is one more than the offset of the record that last changed it. */
export const ownershipSchema = z.object({ revision: offset, group: z.string().optional() });

/** Schema of the newest renewal of a holder's lease. */
export const renewalSchema = z.object({ offset, durationMilliseconds: z.number().int().positive() });

/** Schema of the state. Renewals are keyed by `holderKey`. */
export const groupsStateSchema = z.object({
    hosts: z.record(z.string(), ownershipSchema),
    groups: z.record(z.string(), heldGroupSchema),
    renewals: z.record(z.string(), renewalSchema),
});

/** Body of a record of the groups stream. */
export type GroupsBody = z.infer<typeof groupsBodySchema>;
/** Body of a record of one kind. */
export type GroupsBodyOf<Kind extends GroupsBody["kind"]> = Extract<GroupsBody, { kind: Kind; }>;
/** Group in the state of the groups stream. */
export type HeldGroup = z.infer<typeof heldGroupSchema>;
/** Newest renewal of a holder. */
export type Renewal = z.infer<typeof renewalSchema>;
/** State of the groups stream. */
export type GroupsState = z.infer<typeof groupsStateSchema>;

/** Returns the key of a holder. A restarted daemon is a different holder, because the earlier process may be paused. */
export function holderKey(author: Author): string {
    return `${author.daemon}/${author.incarnation}`;
}

/** Returns the key of the holder of a group. */
export function holderKeyOf(group: HeldGroup): string {
    return holderKey({ daemon: group.holder, incarnation: group.incarnation });
}

/** Returns the ownership revision of a host, or 0 if the state has no entry for it. */
export function revisionOf(state: GroupsState, host: string): number {
    return ownEntry(state.hosts, host)?.revision ?? 0;
}

/** Returns the group that owns a host. */
export function groupOfHost(state: GroupsState, host: string): HeldGroup | undefined {
    const group = ownEntry(state.hosts, host)?.group;
    return group === undefined ? undefined : ownEntry(state.groups, group);
}

/** Returns the newest renewal of the holder of a group. */
export function renewalOf(state: GroupsState, group: HeldGroup): Renewal | undefined {
    return ownEntry(state.renewals, holderKeyOf(group));
}

/** Returns a group by its id. */
export function groupById(state: GroupsState, group: string): HeldGroup | undefined {
    return ownEntry(state.groups, group);
}

/** Fold of the groups stream. Forming a group or taking one over also renews the lease of the holder. */
export const groupsFold: FoldDefinition<GroupsState, GroupsBody> = {
    name: "groups",
    body: groupsBodySchema,
    state: groupsStateSchema,
    initial: () => ({ hosts: {}, groups: {}, renewals: {} }),
    apply: (state, body, context) => {
        const handler = handlers[body.kind] as (
            state: GroupsState,
            body: GroupsBody,
            context: RecordContext,
        ) => RecordResult<GroupsState>;
        return handler(state, body, context);
    },
};

type Handler<Kind extends GroupsBody["kind"]> = (
    state: GroupsState,
    body: GroupsBodyOf<Kind>,
    context: RecordContext,
) => RecordResult<GroupsState>;

const handlers: { readonly [Kind in GroupsBody["kind"]]: Handler<Kind>; } = {
    form: (state, body, context) => {
        const found = formIssue(state, body, context);
        if (found !== undefined) {
            return rejected(...found);
        }
        const { group, model, version, leader, holder } = body;
        const members = body.members.map(member => member.host);
        const formed: HeldGroup = {
            group,
            model,
            version,
            members,
            leader,
            holder,
            fence: context.offset,
            incarnation: context.author.incarnation,
        };
        return accepted(
            withRenewal(
                {
                    ...state,
                    hosts: { ...state.hosts, ...ownershipOf(members, context.offset, group) },
                    groups: { ...state.groups, [group]: formed },
                },
                context,
                LEASE_MILLISECONDS,
            ),
            context,
        );
    },
    dissolve: (state, body, context) => {
        const group = groupById(state, body.group);
        if (group === undefined || group.fence !== body.fence) {
            return rejected("group_changed", "group", `group ${body.group} does not exist with fence ${body.fence}`);
        }
        if (holderKeyOf(group) !== holderKey(context.author)) {
            return rejected("not_holder", "group", `group ${body.group} is held by ${group.holder}`);
        }
        const groups = Object.fromEntries(Object.entries(state.groups).filter(([key]) => key !== body.group));
        const hosts = { ...state.hosts, ...ownershipOf(group.members, context.offset) };
        return accepted({ ...state, groups, hosts }, context);
    },
    renew: (state, body, context) => {
        if (body.holder !== context.author.daemon) {
            return rejected("not_holder", "holder", `${context.author.daemon} renews for ${body.holder}`);
        }
        return accepted(withRenewal(state, context, body.durationMilliseconds), context);
    },
    takeover: (state, body, context) => {
        const group = groupById(state, body.group);
        if (group === undefined || group.fence !== body.fence || group.holder !== body.previousHolder) {
            return rejected("group_changed", "group", `group ${body.group} is not held as the record names it`);
        }
        if (body.holder !== context.author.daemon) {
            return rejected("not_holder", "holder", `${context.author.daemon} takes over for ${body.holder}`);
        }
        const renewal = renewalOf(state, group);
        if (renewal !== undefined && renewal.offset > body.renewalOffset) {
            return rejected("holder_renewed", "renewalOffset", `${group.holder} renewed at offset ${renewal.offset}`);
        }
        const takenOver = {
            ...group,
            holder: body.holder,
            incarnation: context.author.incarnation,
            fence: context.offset,
        };
        const groups = { ...state.groups, [body.group]: takenOver };
        return accepted(withRenewal({ ...state, groups }, context, LEASE_MILLISECONDS), context);
    },
};

function formIssue(
    state: GroupsState,
    body: GroupsBodyOf<"form">,
    context: RecordContext,
): [code: string, path: string, message: string] | undefined {
    const hosts = body.members.map(member => member.host);
    const changed = body.members.find(member => revisionOf(state, member.host) !== member.revision);
    const owned = hosts.find(host => groupOfHost(state, host) !== undefined);
    const checks: (readonly [boolean, string, string, string])[] = [
        [body.holder !== context.author.daemon, "not_holder", "holder", `${context.author.daemon} is not the holder`],
        [groupById(state, body.group) !== undefined, "group_exists", "group", `group ${body.group} exists`],
        [new Set(hosts).size !== hosts.length, "host_repeated", "members", "a host is named twice"],
        [!hosts.includes(body.leader), "leader_missing", "leader", `${body.leader} is not a member`],
        [owned !== undefined, "host_owned", "members", `host ${owned} belongs to a group`],
        [changed !== undefined, "host_changed", "members", `host ${changed?.host} has another ownership revision`],
    ];
    const failed = checks.find(([fails]) => fails);
    return failed === undefined ? undefined : [failed[1], failed[2], failed[3]];
}

function ownershipOf(hosts: readonly string[], at: number, group?: string): GroupsState["hosts"] {
    const owner = group === undefined ? { revision: at + 1 } : { revision: at + 1, group };
    return Object.fromEntries(hosts.map(host => [host, owner]));
}

function withRenewal(state: GroupsState, context: RecordContext, durationMilliseconds: number): GroupsState {
    const renewal = { offset: context.offset, durationMilliseconds };
    return { ...state, renewals: { ...state.renewals, [holderKey(context.author)]: renewal } };
}

/**
 * Accepts a state after removing entries older than the basis window: free hosts, and renewals of holders without
 * groups. A record with an older basis is rejected, so no accepted record can name a revision from before the window.
 */
function accepted(state: GroupsState, context: RecordContext): RecordResult<GroupsState> {
    const oldest = context.offset - BASIS_WINDOW;
    const expired =
        Object.entries(state.hosts).some(([, owned]) => owned.group === undefined && owned.revision < oldest)
        || Object.values(state.renewals).some(renewal => renewal.offset < oldest);
    if (!expired) {
        return { kind: "accepted", state };
    }
    const holders = new Set(Object.values(state.groups).map(holderKeyOf));
    const hosts = Object.entries(state.hosts)
        .filter(([, owned]) => owned.group !== undefined || owned.revision >= oldest);
    const renewals = Object.entries(state.renewals)
        .filter(([holder, renewal]) => holders.has(holder) || renewal.offset >= oldest);
    return {
        kind: "accepted",
        state: { ...state, hosts: Object.fromEntries(hosts), renewals: Object.fromEntries(renewals) },
    };
}

function rejected(code: string, path: string, message: string): RecordResult<GroupsState> {
    return { kind: "rejected", issue: issue(code, [path], message) };
}

/** Returns the entry of a key, ignoring properties that objects inherit. */
function ownEntry<Value>(record: Readonly<Record<string, Value>>, key: string): Value | undefined {
    return Object.hasOwn(record, key) ? record[key] : undefined;
}
