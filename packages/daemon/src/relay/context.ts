/** One request of a caller on its way through the relay, and the parts that the relay works with. */
import type {
    AdmittedRoute,
    DemandMeter,
    LoadTracker,
    RetryBudget,
    RouteLookup,
    SlidingMaximum,
} from "@damaskvale/core";
import type { ServerResponse } from "node:http";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { CallerRequest, RelayProtocol } from "../ports/relayprotocol.js";
import type { RelayState } from "./state.js";
import type { TargetConnections } from "./targetconnections.js";

/** An admitted request. Times are monotonic milliseconds. */
export interface RequestContext {
    readonly request: CallerRequest;
    readonly body: Buffer;
    readonly response: ServerResponse;
    readonly lookup: RouteLookup;
    readonly admitted: AdmittedRoute;
    /** Service that the route chose. */
    readonly service: string;
    readonly receivedAt: number;
    /** When the request gets its final answer at the latest. */
    readonly deadlineAt: number;
}

/** What the relay works with. */
export interface RelayParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly protocol: RelayProtocol;
    readonly state: RelayState;
    readonly connections: TargetConnections;
    readonly board: LoadTracker;
    /** Notes that a head cannot be used: nothing listens at its address, or what does is not the head. */
    readonly headUnusable: (head: string) => void;
    readonly dataCentre: string;
    /** Load of a target from other daemons, as far as known. */
    readonly loadOfOthers: (target: string) => { readonly inProgress: number; readonly pendingPromptTokens: number; };
    /** Sound groups by service and model. */
    readonly groupsLately: SlidingMaximum;
    /** Meter of the work that callers ask of a service. */
    readonly demandOf: (service: string) => DemandMeter;
    /** Budget of repeats of a service. */
    readonly budgetOf: (service: string) => RetryBudget;
    /** Random number from 0 to below 1. */
    readonly random: () => number;
}

/** Fields that identify a request in the log. */
export function identify({ request, admitted, lookup }: RequestContext): Readonly<Record<string, unknown>> {
    return {
        requestId: request.id,
        route: admitted.route.name,
        configurationVersion: lookup.configuration.version,
    };
}
