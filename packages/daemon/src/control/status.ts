/** Status of this daemon and of the other daemons, as the operator API returns it. */
import {
    type DaemonStatus,
    daemonStatusSchema,
    type GroupStatus,
    type HostStatus,
    type Observation,
    type StatusResponse,
} from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { PeerNetwork } from "../ports/peers.js";
import type { StreamHealth } from "../ports/stream.js";
import type { TableView } from "../ports/tableview.js";
import type { GroupStatus as ViewedGroup } from "../tasks/groupview.js";
import type { HostsView } from "../tasks/hosts.js";
import type { MembersView } from "../tasks/membership.js";
import type { PeerRequests } from "../tasks/peerrequests.js";
import type { Published } from "../tasks/published.js";

/** Sources of the status. */
export interface StatusSources {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    readonly clock: Clock;
    readonly state: () => DaemonStatus["state"];
    readonly table: Published<TableView>;
    readonly streams: () => readonly StreamHealth[];
    readonly members: Published<MembersView>;
    readonly network: PeerNetwork;
    readonly peerRequests: PeerRequests;
    readonly hosts: Published<HostsView>;
    readonly observations: Published<ReadonlyMap<string, Observation>>;
    readonly groups: () => readonly ViewedGroup[];
    readonly requestsInProgress: () => number;
}

/** Returns the status of this daemon. */
export function readOwnStatus(sources: StatusSources): DaemonStatus {
    const now = sources.clock.monotonic();
    const streams = sources.streams();
    const unreachable = sources.members.current().others
        .filter(({ info }) => info.state === "suspect" || info.state === "dead")
        .map(({ info }) => info.daemon);
    return {
        daemon: sources.daemon,
        dataCentre: sources.dataCentre,
        incarnation: sources.incarnation,
        state: sources.state(),
        configurationOffset: sources.table.current().nextOffset,
        requestsInProgress: sources.requestsInProgress(),
        streams: streams.map(({ stream, nextOffset, platformReachable, source, freshAt, halted }) => ({
            stream,
            nextOffset,
            platformReachable,
            source,
            ageMilliseconds: Math.max(0, Math.round(now - freshAt)),
            halted,
        })),
        cannotReach: [...(streams.some(stream => !stream.platformReachable) ? ["platform"] : []), ...unreachable],
    };
}

/** Returns the status of this daemon and of all daemons that are not known to have left. */
export async function fetchAllStatuses(sources: StatusSources): Promise<StatusResponse> {
    const names = sources.members.current().others
        .filter(({ info }) => info.state !== "left")
        .map(({ info }) => info.daemon);
    const answers = await Promise.all(
        names.map(async name => ({ name, status: await fetchDaemonStatus(sources, name) })),
    );
    const others = answers.flatMap(({ status }) => status === undefined ? [] : [status]);
    return {
        daemons: [readOwnStatus(sources), ...others].sort((one, other) => one.daemon < other.daemon ? -1 : 1),
        unreachable: answers.filter(({ status }) => status === undefined).map(({ name }) => name).sort(),
    };
}

/**
 * Fetches the status of one daemon. Data centres are connected by only a few links, so a daemon without a link is asked
 * through a linked daemon of its data centre. Returns `undefined` if the daemon cannot be reached.
 */
export async function fetchDaemonStatus(sources: StatusSources, daemon: string): Promise<DaemonStatus | undefined> {
    const { network, members, peerRequests } = sources;
    const dataCentre = members.current().others.find(({ info }) => info.daemon === daemon)?.info.dataCentre;
    const links = network.links().filter(({ connected }) => connected);
    const hasDirectLink = links.some(link => link.daemon === daemon);
    const linkedDaemon = hasDirectLink ? daemon : links.find(link => link.dataCentre === dataCentre)?.daemon;
    if (linkedDaemon === undefined) {
        return undefined;
    }
    const answer = await peerRequests.send<"fetchStatus">(
        linkedDaemon,
        hasDirectLink
            ? { kind: "fetchStatus" }
            : { kind: "fetchStatus", daemon },
    );
    return daemonStatusSchema.safeParse(answer?.status).data;
}

/** Returns the hosts of this data centre that are listed or send reports. */
export function readHosts(sources: StatusSources): HostStatus[] {
    const { hosts } = sources.hosts.current();
    const observations = sources.observations.current();
    const table = sources.table.current();
    const now = sources.clock.monotonic();
    const groups = new Map(sources.groups().flatMap(({ group }) => group.members.map(host => [host, group.group])));
    return [...hosts.values()]
        .filter(({ dataCentre }) => dataCentre === sources.dataCentre)
        .map(({ host, dataCentre, fabricDomain, state }) => {
            const observation = observations.get(host);
            return {
                host,
                dataCentre,
                fabricDomain,
                listed: state,
                tableState: table.target(host)?.state ?? "active",
                group: groups.get(host),
                reported: observation === undefined ? undefined : describeReport(observation),
                reportAgeMilliseconds: observation === undefined
                    ? undefined
                    : Math.max(0, now - observation.observedAt),
            };
        });
}

/** Returns the groups of this data centre, with the reason if a group is not dispatchable. */
export function readGroups(sources: StatusSources): GroupStatus[] {
    return sources.groups().map(({ group: heldGroup, confirmation, retiring }) => {
        const { group, model, version, fence, holder, leader, members } = heldGroup;
        const dispatchable = confirmation.kind === "dispatchable" && retiring === undefined;
        const confirmationReason = confirmation.kind === "dispatchable"
            ? undefined
            : `${confirmation.reason} ${confirmation.host}`;
        return {
            group,
            model,
            version,
            fence,
            holder,
            leader,
            members: [...members],
            dispatchable,
            reason: retiring ?? confirmationReason,
        };
    });
}

function describeReport({ report }: Observation): string {
    return report.group === undefined ? report.state : `${report.state} ${report.group}#${report.fence}`;
}
