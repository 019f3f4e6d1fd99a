/** Admits first attempts of streams by priority, for services whose routes state different ones. */
import {
    type AdmissionQueue,
    clampPriority,
    createAdmissionQueue,
    createModelAdmission,
    type GroupsSeen,
    type ModelAdmission,
    type QueuedRequestOrder,
    type SheddingDecision,
} from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import { type RequestContext, requestLogFields } from "../relay/requestcontext.js";
import { startTimer } from "../relay/timers.js";

/** What happens to a request whose admission is asked for; exactly one of the two is called, unless it is dropped before. */
export interface AdmissionOutcome {
    /** Returns what is known of the groups now; `undefined` if none takes requests. */
    readonly groups: () => GroupsSeen | undefined;
    readonly serve: (queuedMilliseconds: number) => void;
    readonly refuse: (retryAfterMilliseconds: number, details: Readonly<Record<string, unknown>>) => void;
}

/** A request that waits in this daemon. It has not been sent. */
export interface QueuedRequest {
    /** Takes the request out of the queue; nothing is called afterwards. */
    drop(): void;
    /** Refuses it now. */
    refuse(): void;
}

/** Admission of the streams of this daemon. */
export interface StreamAdmission {
    /** Serves or refuses the request before this returns, or returns it as one that waits. */
    admit(context: RequestContext, outcome: AdmissionOutcome): QueuedRequest | undefined;
    /** Number of requests that wait. */
    queued(): number;
}

/** Collaborators of the admission. */
export interface StreamAdmissionParts {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    /** Number of all daemons, including this one. */
    readonly knownDaemons: () => number;
}

/** At some four requests a second, more than these don't wait together for an eighth of their objectives. */
const QUEUE_BOUND = 8;
/** Waiting requests are decided on again after this time; loads of other daemons change every 120 ms at most. */
const DECIDE_INTERVAL_MILLISECONDS = 20;
/** Share of the objective for which a request may wait: from here on, the time until a refusal counts against us. */
const WAIT_SHARE = 1 / 8;
/** `Retry-After` if no group is known any more when a waiting request is refused. */
const NO_GROUP_RETRY_MILLISECONDS = 1_500;

interface Entry extends QueuedRequestOrder {
    readonly context: RequestContext;
    readonly outcome: AdmissionOutcome;
    readonly admission: ModelAdmission;
    readonly draw: number;
    readonly since: number;
}

/** Creates the admission of a daemon without requests. */
export function createStreamAdmission(parts: StreamAdmissionParts): StreamAdmission {
    return new StreamAdmissionTask(parts);
}

class StreamAdmissionTask implements StreamAdmission {
    private readonly models = new Map<string, ModelAdmission>();
    private readonly queue: AdmissionQueue<Entry> = createAdmissionQueue(QUEUE_BOUND);
    private readonly reportedPriorities = new Set<string>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly parts: StreamAdmissionParts) {}

    admit(context: RequestContext, outcome: AdmissionOutcome): QueuedRequest | undefined {
        const { admitted, lookup, receivedAt, service } = context;
        if (!lookup.isPrioritized(service)) {
            outcome.serve(0);
            return undefined;
        }
        this.reportOutOfRange(context);
        const now = this.parts.clock.monotonic();
        const entry: Entry = {
            ...{ context, outcome, admission: this.admissionOf(context), draw: this.parts.random(), since: now },
            priority: clampPriority(admitted.priority),
            endsAt: receivedAt + WAIT_SHARE * admitted.route.latencyObjectiveMilliseconds,
        };
        entry.admission.recordArrival(entry.priority, now);
        return this.apply(entry, this.decide(entry, now)) === "waits" ? this.enqueue(entry) : undefined;
    }

    queued(): number {
        return this.queue.waiting().length;
    }

    private decide({ context, outcome, admission, priority, draw, endsAt }: Entry, now: number): SheddingDecision {
        const groups = outcome.groups();
        if (groups === undefined) {
            return { kind: "serve" };
        }
        const { receivedAt, deadlineAt, admitted: { route } } = context;
        return admission.decide(
            {
                ...{ priority, draw },
                objectiveLeftMilliseconds: receivedAt + route.latencyObjectiveMilliseconds - now,
                deadlineLeftMilliseconds: deadlineAt - now,
                waitLeftMilliseconds: endsAt - now,
            },
            groups,
            now,
        );
    }

    private apply(entry: Entry, decision: SheddingDecision): "ended" | "waits" {
        if (decision.kind === "wait") {
            return "waits";
        }
        if (decision.kind === "refuse") {
            this.refuse(entry, decision.reason);
            return "ended";
        }
        const now = this.parts.clock.monotonic();
        entry.admission.recordOutcome(true, now);
        entry.outcome.serve(Math.round(now - entry.since));
        return "ended";
    }

    private refuse({ context, outcome, admission, priority, since }: Entry, reason: string): void {
        const now = this.parts.clock.monotonic();
        admission.recordOutcome(false, now);
        const groups = outcome.groups();
        const retryAfterMilliseconds = groups === undefined
            ? NO_GROUP_RETRY_MILLISECONDS
            : admission.reserveReturn(groups, now);
        const details = { priority, shed: reason, queuedMilliseconds: Math.round(now - since) };
        this.parts.log.emit("requestShed", {
            ...requestLogFields(context),
            team: context.admitted.team?.name,
            retryAfterMilliseconds,
            ...details,
        });
        outcome.refuse(retryAfterMilliseconds, details);
    }

    private enqueue(entry: Entry): QueuedRequest | undefined {
        const displaced = this.queue.add(entry);
        if (displaced !== undefined) {
            this.refuse(displaced, "queue-full");
        }
        if (displaced === entry) {
            return undefined;
        }
        this.startTimer();
        return {
            drop: () => void this.queue.remove(entry),
            refuse: () => {
                if (this.queue.remove(entry)) {
                    this.refuse(entry, "too-late");
                }
            },
        };
    }

    private startTimer(): void {
        if (this.timer === undefined && this.queued() > 0) {
            this.timer = startTimer(() => this.decideQueued(), DECIDE_INTERVAL_MILLISECONDS).unref();
        }
    }

    private decideQueued(): void {
        this.timer = undefined;
        this.queue.waiting().forEach(entry => {
            const decision = this.decide(entry, this.parts.clock.monotonic());
            // What happens to one request may end another one, so that it may have left the queue meanwhile.
            if (decision.kind !== "wait" && this.queue.remove(entry)) {
                this.apply(entry, decision);
            }
        });
        this.startTimer();
    }

    private admissionOf({ service, request }: RequestContext): ModelAdmission {
        const key = `${service}/${request.model}`;
        const admission = this.models.get(key) ?? createModelAdmission(this.parts.knownDaemons, this.parts.random);
        this.models.set(key, admission);
        return admission;
    }

    private reportOutOfRange({ admitted: { priority, route, team } }: RequestContext): void {
        const source = `${route.name}/${team?.name ?? ""}`;
        if (clampPriority(priority) !== priority && !this.reportedPriorities.has(source)) {
            this.reportedPriorities.add(source);
            this.parts.log.emit("priorityOutOfRange", { route: route.name, team: team?.name, priority });
        }
    }
}
