/** Watches the fleets of engine services for models without a group, and decides which groups each domain takes apart. */
import {
    createStarvationWatch,
    type DemandMeter,
    type EngineHost,
    type EngineOrder,
    type EngineProfile,
    type Fleet,
    type GrantedReassignment,
    type Service,
    type StarvationWatch,
    type Target,
} from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import { fleetKey, roundDemand } from "./fleet.js";

/** Collaborators of the reassignments. */
export interface ReassignmentParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly demandOf: (service: string) => DemandMeter;
}

/** Hosts and groups of one service in all domains. */
export interface ObservedFleet extends Pick<Fleet, "groupsByModel"> {
    readonly hostsByDomain: ReadonlyMap<string, readonly Target[]>;
    /** Hosts of own domains as the planner sees them, by domain. */
    readonly ownHosts: ReadonlyMap<string, readonly EngineHost[]>;
}

/** Reassignments of the domains that this daemon owns. */
export interface Reassignments {
    /** Returns the reassignment of each domain of a service that has one, by domain. */
    update(
        service: Service,
        engine: EngineProfile,
        observed: ObservedFleet,
    ): ReadonlyMap<string, GrantedReassignment>;
    /** Logs why groups are taken apart, once for each reassignment whose orders begin to do so. */
    recordOrders(service: string, reassignment: GrantedReassignment, orders: readonly EngineOrder[]): void;
}

/** Creates reassignments for fleets that have not been seen yet. */
export function createReassignments(parts: ReassignmentParts): Reassignments {
    return new ReassignmentTask(parts);
}

class ReassignmentTask implements Reassignments {
    private readonly watches = new Map<string, StarvationWatch>();
    /** Fleet of the last update, by service. */
    private readonly fleets = new Map<string, Fleet>();
    /** Last logged reassignment, by service and domain. */
    private readonly logged = new Map<string, string>();

    constructor(private readonly parts: ReassignmentParts) {}

    update(
        service: Service,
        engine: EngineProfile,
        observed: ObservedFleet,
    ): ReadonlyMap<string, GrantedReassignment> {
        const fleet = this.fleetOf(service, engine, observed);
        const watch = this.watches.get(service.name) ?? createStarvationWatch();
        this.watches.set(service.name, watch);
        this.fleets.set(service.name, fleet);
        const granted = new Map(
            watch.update(fleet, this.parts.clock.monotonic()).filter(({ domain }) => observed.ownHosts.has(domain))
                .map(reassignment => [reassignment.domain, reassignment]),
        );
        [...observed.ownHosts.keys()].filter(domain => !granted.has(domain))
            .forEach(domain => this.logged.delete(fleetKey(service.name, domain)));
        return granted;
    }

    recordOrders(service: string, reassignment: GrantedReassignment, orders: readonly EngineOrder[]): void {
        const { domain, model, releases, freeHosts, loads, starvedMilliseconds } = reassignment;
        const key = fleetKey(service, domain);
        const seen = [model, ...releases].join();
        const isReleasing = orders.some(order =>
            (order.kind === "close" || order.kind === "leave") && releases.includes(order.group)
        );
        const fleet = this.fleets.get(service);
        if (fleet === undefined || !isReleasing || this.logged.get(key) === seen) {
            return;
        }
        this.logged.set(key, seen);
        this.parts.log.emit("groupsReassigned", {
            domain,
            model,
            releases,
            freeHosts,
            loads,
            milliseconds: Math.round(starvedMilliseconds),
            models: fleet.models.map(({ name, size }) => ({
                name,
                size,
                demand: roundDemand(fleet.demandByModel.get(name) ?? 0),
                requested: fleet.requestedModels.has(name),
                groups: fleet.groupsByModel.get(name) ?? 0,
            })),
        });
    }

    /** Returns the fleet of a service in all domains; hosts of own domains are as their engines reported last. */
    private fleetOf(
        { name }: Service,
        { models }: EngineProfile,
        { hostsByDomain, ownHosts, groupsByModel }: ObservedFleet,
    ): Fleet {
        const { clock, demandOf } = this.parts;
        const now = clock.monotonic();
        const targets = [...hostsByDomain].flatMap(([domain, hosts]) =>
            ownHosts.get(domain)?.filter(host => !host.lost && !host.unreachable).map(({ target }) => target) ?? hosts
        );
        return {
            models,
            targets,
            requestedModels: demandOf(name).requestedModels(now),
            demandByModel: demandOf(name).demandByModel(models, now),
            groupsByModel,
        };
    }
}
