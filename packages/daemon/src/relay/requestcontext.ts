/** Context of one admitted request, and the collaborators that the relays share. */
import {
    type AdmittedRoute,
    clampPriority,
    type DemandMeter,
    type LoadTracker,
    type RetryBudget,
    type RouteLookup,
    type RouteTimes,
    type SlidingMaximum,
    type Target,
} from "@damaskvale/core";
import type { ServerResponse } from "node:http";
import type { SharedFailures } from "../outliers/sharedfailures.js";
import type { SharedSpeeds } from "../peers/sharedspeeds.js";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { CallerRequest, RelayProtocol } from "../ports/relayprotocol.js";
import type { StreamAdmission } from "../shedding/streamadmission.js";
import type { RequestQuarantine } from "./requestquarantine.js";
import type { StalledHeads } from "./stalledheads.js";
import type { RelayState } from "./statetypes.js";
import type { TargetAvailability } from "./targetavailability.js";
import type { TargetConnections } from "./targetconnections.js";
import type { TargetReachability } from "./targetreachability.js";

/** An admitted request. Times are monotonic milliseconds. */
export interface RequestContext {
    readonly request: CallerRequest;
    readonly body: Buffer;
    readonly response: ServerResponse;
    readonly lookup: RouteLookup;
    readonly admitted: AdmittedRoute;
    /** Service that was picked from the route's weighted targets. */
    readonly service: string;
    /** What can be blamed if targets crash: the shared parts of the prompt, and the identity of the request. */
    readonly subjects: readonly string[];
    readonly receivedAt: number;
    /** Time by which the caller gets the final response. */
    readonly deadlineAt: number;
    /** Hands the request to another daemon, which ends it, although it may have run or not; returns whether there is one. */
    readonly handOver: (mayHaveRun: boolean) => boolean;
}

/** Collaborators of the relays. */
export interface RelayParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly protocol: RelayProtocol;
    readonly state: RelayState;
    readonly connections: TargetConnections;
    readonly loadTracker: LoadTracker;
    readonly availability: TargetAvailability;
    readonly requestQuarantine: RequestQuarantine;
    readonly reachability: TargetReachability;
    readonly speeds: SharedSpeeds;
    /** Which part of their requests plain targets fail. */
    readonly failures: SharedFailures;
    /** How long plain targets take for the requests of this daemon. */
    readonly routeTimes: Pick<RouteTimes, "record">;
    readonly stalledHeads: StalledHeads;
    /** Resolves to whether the process of a target answers; never rejects. */
    readonly isTargetAlive: (target: Target) => Promise<boolean>;
    /** Reports a head that cannot be used: nothing listens at its address, or another process does. */
    readonly headUnusable: (head: string) => void;
    readonly dataCentre: string;
    /** Load that other daemons put on a target, as far as known. */
    readonly peerLoadOf: (target: string) => { readonly inProgress: number; readonly pendingPromptTokens: number; };
    /** Recent maximum of the number of healthy groups, by service and model. */
    readonly recentGroupCounts: SlidingMaximum;
    /** Demand meter of a service. */
    readonly demandOf: (service: string) => DemandMeter;
    /** Admission of first attempts by priority. */
    readonly admission: StreamAdmission;
    /** Retry budget of a service. */
    readonly budgetOf: (service: string) => RetryBudget;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
}

/** Returns the fields that identify a request in the log. */
export function requestLogFields({ request, admitted, lookup }: RequestContext): Readonly<Record<string, unknown>> {
    return {
        requestId: request.id,
        route: admitted.route.name,
        configurationVersion: lookup.configuration.version,
    };
}

/** Returns the priority that targets are told; none for a service whose routes all have the same. */
export function statedPriority({ admitted, lookup, service }: RequestContext): number | undefined {
    return lookup.isPrioritized(service) ? clampPriority(admitted.priority) : undefined;
}
