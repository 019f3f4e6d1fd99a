/** Plans the groups of the domains that this daemon owns, sends orders to engines, and reads back their effect. */
import {
    createDomainPlanner,
    type DemandMeter,
    type DomainPlanInput,
    type DomainPlanner,
    type EngineHost,
    type EngineOrder,
    type EngineProfile,
    type GrantedReassignment,
    type Service,
    type Target,
} from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EngineControl } from "../ports/enginecontrol.js";
import type { EventLog } from "../ports/eventlog.js";
import type { PartitionAssignment } from "../ports/registry.js";
import type { RelayState, ReportedMembership } from "../relay/statetypes.js";
import type { PartitionLease } from "../tasks/partitionlease.js";
import { type BackgroundTasks, createBackgroundTasks } from "./backgroundtasks.js";
import { type ChoiceLog, createChoiceLog } from "./choicelog.js";
import { createEpochs, type Epochs } from "./epochs.js";
import { fleetKey, isNetworkPartitioned } from "./fleet.js";
import { countGroupsByModel, createFleetViews, type FleetView, type FleetViews } from "./fleetviews.js";
import { createHostRecords, reportFromSameProcess } from "./hostrecords.js";
import { membershipDiffers } from "./knownengine.js";
import { createLoadRateLimiter } from "./loadratelimiter.js";
import { createOutdatedOrders, type OutdatedOrders } from "./outdatedorders.js";
import { createPlanningTerms, type OwnHosts } from "./planningterms.js";
import { createReassignments, type Reassignments } from "./reassignments.js";
import { createServingNotice, type ServingNotice } from "./servingnotice.js";
import { usableFleet } from "./usablefleet.js";

/** Collaborators of the planner. */
export interface EnginePlannerParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly state: RelayState;
    readonly lease: PartitionLease;
    readonly partitionCount: number;
    readonly engines: EngineControl;
    /** Whether there has been any request; loads before the first one are not rate-limited. */
    readonly trafficSeen: () => boolean;
    /** Demand meter of a service. */
    readonly demandOf: (service: string) => DemandMeter;
    /** Whether the targets of a data centre get no requests. */
    readonly isEvacuated: (dataCentre: string) => boolean;
    /** Delay between two registry reads. */
    readonly registryDelayMilliseconds: () => number;
    /** Called with memberships that an engine reported and that the registry does not show yet. */
    readonly onMembership: (reported: ReportedMembership) => void;
}

/** A running planner. */
export interface EnginePlanner {
    /** Marks the members of a head's group as suspected because the head makes no progress; they are asked for reports. */
    suspect(head: string): void;
    stop(): void;
}

const ROUND_INTERVAL_MILLISECONDS = 100;
/** Interval of looking for partitions while this daemon holds none. */
const IDLE_INTERVAL_MILLISECONDS = 400;
/** Groups may be chosen whose loads cannot all start now, as long as the rate allows them within this time. */
const LOAD_HORIZON_SECONDS = 10;
/** Debounce time, so that orders that finish together trigger one round. */
const ROUND_DELAY_MILLISECONDS = 20;

/** Starts the planner. */
export function startEnginePlanner(parts: EnginePlannerParts): EnginePlanner {
    const planner = new EnginePlannerTask(parts);
    planner.start();
    return planner;
}

/** A domain for which this daemon plans in a round. */
interface OwnDomain {
    readonly domain: string;
    readonly service: Service;
    readonly engine: EngineProfile;
    /** Hosts as the registry shows them. */
    readonly targets: readonly Target[];
    /** The same hosts with what their engines stated. */
    readonly hosts: readonly EngineHost[];
    /** Complete groups of the service in all domains, when the round began. */
    readonly groupsByModel: ReadonlyMap<string, number>;
    readonly assignment: PartitionAssignment;
    readonly reassignment: GrantedReassignment | undefined;
}

class EnginePlannerTask implements EnginePlanner {
    /** Planners by service and domain, since hosts of several services may share a domain. */
    private readonly planners = new Map<string, DomainPlanner>();
    private readonly records = createHostRecords(({ id, startedAt, domain }, stale) =>
        this.parts.log.emit("staleMembership", { host: id, domain, startedAt, ...stale })
    );
    private readonly terms = createPlanningTerms(({ key, targets }, isContinued) => {
        this.records.beginTerm(targets, isContinued, this.parts.clock.monotonic());
        if (!isContinued) {
            this.planners.delete(key);
        }
    });
    private readonly loads = createLoadRateLimiter();
    private readonly choiceLog: ChoiceLog;
    private readonly reassignments: Reassignments;
    private readonly views: FleetViews;
    private readonly epochs: Epochs;
    private readonly outdatedOrders: OutdatedOrders;
    private readonly servingNotice: ServingNotice;
    /** Whether records may be kept of targets that are not known any more. */
    private hasStaleRecords = false;
    private readonly tasks: BackgroundTasks;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly parts: EnginePlannerParts) {
        this.choiceLog = createChoiceLog(parts.log);
        this.reassignments = createReassignments(parts);
        this.servingNotice = createServingNotice(parts.onMembership);
        this.views = createFleetViews(parts.state, parts.partitionCount);
        this.epochs = createEpochs(parts.state);
        this.outdatedOrders = createOutdatedOrders({ ...parts, epochs: this.epochs });
        this.tasks = createBackgroundTasks({
            log: parts.log,
            owner: "engine planner",
            onFinished: () => this.planRound(),
            delayMilliseconds: ROUND_DELAY_MILLISECONDS,
        });
        parts.state.onChange(() => {
            this.hasStaleRecords = true;
        });
    }

    start(): void {
        const holdsPartitions = (this.parts.lease.current()?.partitions.length ?? 0) > 0;
        this.timer = setTimeout(() => {
            this.start();
            this.planRound();
        }, holdsPartitions ? ROUND_INTERVAL_MILLISECONDS : IDLE_INTERVAL_MILLISECONDS);
    }

    stop(): void {
        this.tasks.stop();
        clearTimeout(this.timer);
    }

    suspect(head: string): void {
        const { clock, state } = this.parts;
        const group = state.targetById(head)?.membership?.group;
        if (group === undefined) {
            return;
        }
        const now = clock.monotonic();
        state.targets().filter(member => member.membership?.group === group)
            .forEach(member => this.records.recordSuspicion(member, now));
    }

    private planRound(): void {
        const { state, lease } = this.parts;
        const assignment = lease.current();
        if (assignment === undefined || assignment.partitions.length === 0) {
            this.terms.end();
            return;
        }
        if (this.hasStaleRecords) {
            this.hasStaleRecords = false;
            this.records.retain(new Set(state.targets().map(target => target.id)));
        }
        const services = this.engineServices();
        this.terms.update(
            services.flatMap(({ service }) => this.ownHosts(service, assignment)),
            assignment.fencingToken,
        );
        const hosts = services.flatMap(({ service, engine }) => this.planService(service, engine, assignment));
        this.servingNotice.announce(hosts);
    }

    private ownHosts({ name }: Service, { partitions }: PartitionAssignment): readonly OwnHosts[] {
        const view = this.views.viewOf(name);
        return this.views.domainsOf(view, partitions)
            .map(domain => ({ key: fleetKey(name, domain), targets: view.hostsByDomain.get(domain) ?? [] }));
    }

    /** Plans the own domains of a service; returns their hosts as they are known afterwards. */
    private planService(service: Service, engine: EngineProfile, assignment: PartitionAssignment): readonly Target[] {
        const view = this.views.viewOf(service.name);
        const domains = this.views.domainsOf(view, assignment.partitions);
        const ownHosts = this.describeHosts(domains, view);
        const ownTargets = new Map([...ownHosts].map(([domain, hosts]) => [domain, hosts.map(({ target }) => target)]));
        const groupsByModel = countGroupsByModel(view, ownTargets, engine.models);
        const reassignments = this.reassignments.update(
            service,
            engine,
            usableFleet(view, { ownHosts, groupsByModel }, engine, this.parts.isEvacuated),
        );
        ownHosts.forEach((hosts, domain) =>
            this.planDomain({
                domain,
                service,
                engine,
                targets: view.hostsByDomain.get(domain) ?? [],
                hosts,
                groupsByModel,
                assignment,
                reassignment: reassignments.get(domain),
            })
        );
        const { hostsByDomain } = this.views.viewOf(service.name);
        return domains.flatMap(domain => hostsByDomain.get(domain) ?? []);
    }

    private describeHosts(
        domains: readonly string[],
        { hostsByDomain }: FleetView,
    ): ReadonlyMap<string, readonly EngineHost[]> {
        const now = this.parts.clock.monotonic();
        return new Map(
            domains.map(domain => [
                domain,
                (hostsByDomain.get(domain) ?? []).map(target => this.records.describe(target, now)),
            ]),
        );
    }

    private engineServices(): { readonly service: Service; readonly engine: EngineProfile; }[] {
        return (this.parts.state.lookup()?.configuration.services ?? []).flatMap(service =>
            service.engine === undefined ? [] : [{ service, engine: service.engine }]
        );
    }

    private planDomain(
        { domain, service, engine, targets, hosts, groupsByModel, assignment, reassignment }: OwnDomain,
    ): void {
        const { clock, state, partitionCount, demandOf } = this.parts;
        const now = clock.monotonic();
        targets.filter(target => this.records.needsReport(target, now)).forEach(target =>
            this.tasks.run(this.requestReport(target))
        );
        if (!this.outdatedOrders.mayOrder(domain, assignment) || isNetworkPartitioned(hosts)) {
            return;
        }
        hosts.filter(host => host.lost && !host.target.registered).forEach(host => state.forget(host.target.id));
        const loadsPerSecond = engine.loadsPerSecond * assignment.partitions.length / partitionCount;
        const { orders, choice, requiredStatements } = this.plannerOf(service.name, domain).plan({
            domain,
            hosts,
            models: engine.models,
            groupsByModel,
            demandByModel: demandOf(service.name).demandByModel(engine.models, now),
            reassignment,
            ...this.allowedLoads(loadsPerSecond, now),
            registryDelayMilliseconds: this.parts.registryDelayMilliseconds(),
            fencingToken: assignment.fencingToken,
            nextEpoch: this.epochs.next(assignment.fencingToken),
            now,
        });
        requiredStatements.forEach(({ host, since }) => this.records.requireStatement(host, since));
        this.choiceLog.record(service.name, domain, choice);
        if (reassignment !== undefined) {
            this.reassignments.recordOrders(service.name, reassignment, orders);
        }
        const byId = new Map(hosts.map(host => [host.target.id, host]));
        orders.forEach(order => {
            const { target, orderSequence } = byId.get(order.host) ?? {};
            if (target !== undefined && orderSequence !== undefined) {
                this.recordOrder(target, order);
                this.tasks.run(this.sendOrder(target, orderSequence, order, domain, assignment));
            }
        });
    }

    /** Before the first request, loads are quick and not rate-limited. */
    private allowedLoads(
        perSecond: number,
        now: number,
    ): Pick<DomainPlanInput, "loadsAllowed" | "loadsAllowedSoon" | "loadsAreQuick"> {
        if (!this.parts.trafficSeen()) {
            return {
                loadsAllowed: Number.POSITIVE_INFINITY,
                loadsAllowedSoon: Number.POSITIVE_INFINITY,
                loadsAreQuick: true,
            };
        }
        const loadsAllowed = this.loads.available(perSecond, now);
        return {
            loadsAllowed,
            loadsAllowedSoon: loadsAllowed + perSecond * LOAD_HORIZON_SECONDS,
            loadsAreQuick: false,
        };
    }

    /** Takes a load from the rate limiter, and remembers the epoch of a join. */
    private recordOrder(target: Target, order: EngineOrder): void {
        if (this.parts.trafficSeen() && "model" in order && !target.stagedModels.includes(order.model)) {
            this.loads.take();
        }
        if (order.kind === "join") {
            this.epochs.record(order.epoch);
        }
    }

    private async sendOrder(
        target: Target,
        expectedSequence: number,
        order: EngineOrder,
        domain: string,
        assignment: PartitionAssignment,
    ): Promise<void> {
        const { clock, log, engines } = this.parts;
        const provenance = this.records.provenanceOf(target, clock.monotonic());
        this.records.recordOrderSent(target, expectedSequence);
        const { fencingToken } = assignment;
        const result = await engines.order(target, order, { fencingToken, expectedSequence });
        this.records.recordOrderResult(target, order, result, clock.monotonic());
        const { startedAt, registered } = target;
        log.emit("engineOrdered", {
            ...order,
            domain,
            fencingToken,
            expectedSequence,
            ...provenance,
            startedAt,
            registered,
            result,
        });
        if (order.kind === "stage" && result !== "accepted" && result !== "already-holds") {
            this.plannerOf(target.service, domain).recordRefusedLoad(target.id);
        }
        if (order.kind === "leave" && (result === "accepted" || result === "already-holds")) {
            this.parts.onMembership({ host: target.id, startedAt: target.startedAt, leftEpoch: order.epoch });
        }
        if (result === "outdated") {
            this.outdatedOrders.record(domain, order, fencingToken, clock.monotonic());
        }
        if (result === "outdated" && order.kind === "join") {
            this.plannerOf(target.service, domain).recordRefusedJoin(order.group);
        }
    }

    private async requestReport(target: Target): Promise<void> {
        const { clock, log, state, engines } = this.parts;
        this.records.recordReportRequested(target, clock.monotonic());
        const report = await engines.report(target);
        const answer = reportFromSameProcess(target, report);
        const isNewer = this.records.recordReport(target, answer, clock.monotonic());
        if (
            isNewer && answer !== undefined
            && membershipDiffers(state.targetById(target.id)?.membership, answer.membership)
        ) {
            const { model, membership } = answer;
            if (membership?.state === "open") {
                this.servingNotice.recordAnnounced(membership.group);
            }
            const { leftEpoch } = this.records.describe(target, clock.monotonic()).target;
            this.parts.onMembership({ host: target.id, startedAt: target.startedAt, model, membership, leftEpoch });
        }
        log.emit("engineReported", {
            host: target.id,
            answered: answer !== undefined,
            startedAt: target.startedAt,
            registered: target.registered,
            reportedStart: report?.startedAt,
            membership: answer?.membership,
            orderSequence: answer?.orderSequence,
        });
    }

    private plannerOf(service: string, domain: string): DomainPlanner {
        const key = fleetKey(service, domain);
        const planner = this.planners.get(key) ?? createDomainPlanner();
        this.planners.set(key, planner);
        return planner;
    }
}
