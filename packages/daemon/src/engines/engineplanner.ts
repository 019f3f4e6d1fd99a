/** Plans the groups of the domains that this daemon owns, gives the orders and reads back their effect. */
import {
    createDomainPlanner,
    type DomainPlanner,
    type EngineHost,
    type EngineOrder,
    type EngineProfile,
    type GroupMembership,
    groupsOf,
    type Service,
    type Target,
} from "@damaskvale/core";
import { createHash } from "node:crypto";
import type { Clock } from "../ports/clock.js";
import type { EngineControl } from "../ports/enginecontrol.js";
import type { EventLog } from "../ports/eventlog.js";
import type { PartitionShare } from "../ports/registry.js";
import type { RelayState, ToldMembership } from "../relay/state.js";
import type { PartitionLease } from "../tasks/partitionlease.js";
import { createHostRecords } from "./hostrecords.js";
import { createLoadAllowance } from "./loadallowance.js";

/** What the planner works with. */
export interface EnginePlannerParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly state: RelayState;
    readonly lease: PartitionLease;
    readonly partitionCount: number;
    readonly engines: EngineControl;
    /** Whether requests have been seen; loads before the first one are not limited. */
    readonly trafficSeen: () => boolean;
    /** Receives memberships that an engine reported and that the registry does not show yet. */
    readonly onMembership: (told: ToldMembership) => void;
}

/** A running planner. */
export interface EnginePlanner {
    /** Takes note that a head makes no progress, so that its members are examined. */
    suspect(head: string): void;
    stop(): void;
}

const ROUND_INTERVAL_MILLISECONDS = 100;
/** Orders that end together are followed by one round. */
const ROUND_DELAY_MILLISECONDS = 5;

/** Starts to plan. */
export function startEnginePlanner(parts: EnginePlannerParts): EnginePlanner {
    const { clock, log, state, engines } = parts;
    const planners = new Map<string, DomainPlanner>();
    const records = createHostRecords();
    const loads = createLoadAllowance();
    /** Token with which an engine refused this daemon, by domain. */
    const refusedTokens = new Map<string, number>();
    let highestEpoch = 0;
    let scheduled = false;
    let stopped = false;

    const plannerOf = (domain: string): DomainPlanner => {
        const planner = planners.get(domain) ?? createDomainPlanner();
        planners.set(domain, planner);
        return planner;
    };

    const report = async (target: Target): Promise<void> => {
        records.noteReportAsked(target, clock.monotonic());
        const answer = await engines.report(target);
        records.noteReport(target, answer, clock.monotonic());
        if (answer !== undefined && differs(state.targetById(target.id)?.membership, answer.membership)) {
            parts.onMembership({ host: target.id, model: answer.model, membership: answer.membership });
        }
        if (records.describe(target, clock.monotonic()).lost) {
            state.forget(target.id);
        }
        log.emit("engineReported", {
            host: target.id,
            answered: answer !== undefined,
            membership: answer?.membership,
            orderSequence: answer?.orderSequence,
        });
    };

    const give = async (target: Target, order: EngineOrder, domain: string, share: PartitionShare): Promise<void> => {
        const expectedSequence = records.sequenceOf(target);
        if (expectedSequence === undefined) {
            await report(target);
            return;
        }
        records.noteOrderSent(target, clock.monotonic());
        const { fencingToken } = share;
        const result = await engines.order(target, order, { fencingToken, expectedSequence });
        records.noteOrderResult(target, order.kind, result, clock.monotonic());
        log.emit("engineOrdered", { ...order, domain, fencingToken, expectedSequence, result });
        if (result === "fenced") {
            refusedTokens.set(domain, fencingToken);
            log.emit("domainFenced", { domain, host: target.id, fencingToken });
        }
    };

    const planDomain = (domain: string, service: Service, engine: EngineProfile, share: PartitionShare): void => {
        const now = clock.monotonic();
        const targets = state.targets().filter(target => target.service === service.name && target.domain === domain);
        targets.filter(target => records.needsReport(target, now)).forEach(target => start(report(target)));
        if (refusedTokens.get(domain) === share.fencingToken) {
            return;
        }
        const hosts: EngineHost[] = targets.map(target => records.describe(target, now));
        const orders = plannerOf(domain).plan({
            domain,
            hosts,
            models: engine.models,
            groupsByModel: countGroups(state, service.name),
            demandByModel: new Map(),
            loadsAllowed: parts.trafficSeen()
                ? loads.available(engine.loadsPerSecond * share.partitions.length / parts.partitionCount, now)
                : Number.POSITIVE_INFINITY,
            fencingToken: share.fencingToken,
            nextEpoch: nextEpoch(share),
            now,
        });
        orders.forEach(order => {
            const target = targets.find(candidate => candidate.id === order.host);
            if (target === undefined) {
                return;
            }
            if (parts.trafficSeen() && "model" in order && !target.stagedModels.includes(order.model)) {
                loads.take();
            }
            if (order.kind === "join") {
                highestEpoch = Math.max(highestEpoch, order.epoch);
            }
            start(give(target, order, domain, share));
        });
    };

    const nextEpoch = (share: PartitionShare): number => {
        const seen = state.targets().map(target => target.membership?.epoch ?? 0);
        highestEpoch = Math.max(highestEpoch, share.fencingToken, ...seen);
        return highestEpoch + 1;
    };

    const round = (): void => {
        const share = parts.lease.current();
        const services = state.lookup()?.configuration.services ?? [];
        if (share === undefined) {
            return;
        }
        records.retain(new Set(state.targets().map(target => target.id)));
        services.forEach(service => {
            const { engine } = service;
            if (engine === undefined) {
                return;
            }
            domainsOf(state, service.name)
                .filter(domain => share.partitions.includes(partitionOf(domain, parts.partitionCount)))
                .forEach(domain => planDomain(domain, service, engine, share));
        });
    };

    const start = (work: Promise<void>): void => {
        work.then(schedule).catch((error: unknown) => log.emit("taskFailed", { task: "engine planner", error }));
    };

    const schedule = (): void => {
        if (!scheduled && !stopped) {
            scheduled = true;
            setTimeout(() => {
                scheduled = false;
                round();
            }, ROUND_DELAY_MILLISECONDS);
        }
    };

    const timer = setInterval(round, ROUND_INTERVAL_MILLISECONDS);
    return {
        suspect: head => {
            const target = state.targetById(head);
            const group = target?.membership?.group;
            if (group === undefined) {
                return;
            }
            const now = clock.monotonic();
            state.targets().filter(member => member.membership?.group === group)
                .forEach(member => records.noteSuspicion(member, now));
        },
        stop: () => {
            stopped = true;
            clearInterval(timer);
        },
    };
}

function differs(left: GroupMembership | undefined, right: GroupMembership | undefined): boolean {
    return left?.group !== right?.group || left?.state !== right?.state || left?.epoch !== right?.epoch;
}

function domainsOf(state: RelayState, service: string): string[] {
    const domains = state.targets().filter(target => target.service === service).map(target => target.domain);
    return [...new Set(domains)].filter(domain => domain !== undefined);
}

/** Partition of a domain: the same on every daemon. */
function partitionOf(domain: string, partitionCount: number): number {
    return createHash("sha256").update(domain).digest().readUInt32BE(0) % partitionCount;
}

function countGroups(state: RelayState, service: string): Map<string, number> {
    const engine = state.lookup()?.serviceOf(service)?.engine;
    const targets = state.targets().filter(target => target.service === service);
    const groups = groupsOf(targets, engine?.models ?? []).filter(group => group.whole);
    return groups.reduce(
        (counts, { model }) => model === undefined ? counts : counts.set(model, (counts.get(model) ?? 0) + 1),
        new Map<string, number>(),
    );
}
