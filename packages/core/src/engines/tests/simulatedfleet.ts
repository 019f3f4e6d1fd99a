/** Fleet of several domains whose hosts carry out the orders of their planners, on a simulated clock. */
import type { ModelProfile } from "../../routes/types.js";
import { collectGroups, countCompleteGroups, type EngineGroup } from "../groups.js";
import type { EngineOrder } from "../orders.js";
import type { DomainPlanInput } from "../planinput.js";
import { createDomainPlanner, type DomainPlanner } from "../planner.js";
import { createStarvationWatch, type StarvationWatch } from "../starvation.js";
import type { MembershipState, Target } from "../types.js";
import { host, input, models, START } from "./domain.js";

/** Groups and free hosts of a domain at the start. */
export interface InitialDomain {
    /** Models of the groups that serve. */
    readonly groups: readonly string[];
    readonly free: number;
    /** Weights that the free hosts hold. */
    readonly freeHold?: string;
    /** Whether no daemon plans this domain, although its hosts are registered. */
    readonly unowned?: boolean;
}

/** What callers request and what loads are allowed, which may change with the time since the start. */
export interface Circumstances {
    readonly requested: (milliseconds: number) => readonly string[];
    readonly demand?: Readonly<Record<string, number>>;
    readonly loadsAllowed?: number;
}

type JoinOrder = Extract<EngineOrder, { kind: "join"; }>;

type OrderHandlers = {
    readonly [Kind in EngineOrder["kind"]]: (order: Extract<EngineOrder, { kind: Kind; }>) => void;
};

interface Owner {
    readonly planner: DomainPlanner;
    readonly watch: StarvationWatch;
    readonly fencingToken: number;
}

const ROUND_MILLISECONDS = 100;
const JOIN_MILLISECONDS = 1_000;
/** Time in which the streams of a closing group end. */
export const DRAIN_MILLISECONDS = 5_000;

/** Fleet at `now`; each domain has an owner with a planner and a watch of its own. */
export class SimulatedFleet {
    /** Names of the groups that were ordered to close. */
    readonly closed = new Set<string>();
    /** Orders against the rules: joins of a host that is in another group, and heads that leave while they serve. */
    readonly violations: string[] = [];
    private readonly targets = new Map<string, Target>();
    private readonly owners = new Map<string, Owner>();
    /** Changes of hosts that are due later. */
    private events: { readonly at: number; readonly apply: () => void; }[] = [];
    private now = START;
    private epoch = 10;

    constructor(domains: Readonly<Record<string, InitialDomain>>, private readonly circumstances: Circumstances) {
        Object.entries(domains).forEach(([domain, initial]) => this.addDomain(domain, initial));
    }

    /** Runs the fleet until a time after the start, or until a condition holds; returns the time after the start. */
    run(untilMilliseconds: number, done: () => boolean = () => false): number {
        while (this.now - START < untilMilliseconds && !done()) {
            this.now += ROUND_MILLISECONDS;
            this.events.filter(({ at }) => at <= this.now).forEach(({ apply }) => apply());
            this.events = this.events.filter(({ at }) => at > this.now);
            this.owners.forEach((owner, domain) => this.planDomain(domain, owner));
        }
        return this.now - START;
    }

    /** Hands a domain over to a daemon that has not planned before. */
    replaceOwner(domain: string): void {
        this.owners.set(domain, {
            planner: createDomainPlanner(),
            watch: createStarvationWatch(),
            fencingToken: (this.owners.get(domain)?.fencingToken ?? 0) + 1,
        });
    }

    /** Makes the hosts of a group unknown, as when they are lost. */
    loseGroup(model: string): void {
        const lost = this.groups().find(group => group.model === model);
        lost?.members.forEach(({ id }) => this.targets.delete(id));
    }

    servingGroups(model: string): number {
        return this.groups().filter(group => group.model === model && group.head?.membership?.state === "open").length;
    }

    private groups(): EngineGroup[] {
        return collectGroups([...this.targets.values()], models);
    }

    private addDomain(domain: string, { groups, free, freeHold, unowned }: InitialDomain): void {
        groups.forEach((model, index) => {
            const size = profileOf(model).size;
            Array.from({ length: size }, (...[, rank]) =>
                this.add(domain, `${domain}-${index}-${rank}`, {
                    model,
                    stagedModels: [model],
                    membership: {
                        group: `${domain}~${model}~1.${index}`,
                        epoch: index,
                        rank,
                        state: rank === 0 ? "open" : "ready",
                    },
                }));
        });
        const stagedModels = freeHold === undefined ? [] : [freeHold];
        Array.from({ length: free }, (...[, index]) => this.add(domain, `${domain}-free-${index}`, { stagedModels }));
        if (unowned !== true) {
            this.replaceOwner(domain);
        }
    }

    private add(domain: string, id: string, fields: Partial<Target>): void {
        this.targets.set(id, host(id, { domain, ...fields }).target);
    }

    private planDomain(domain: string, { planner, watch, fencingToken }: Owner): void {
        const { requested, demand = { large: 1, small: 1 }, loadsAllowed = 100 } = this.circumstances;
        const targets = [...this.targets.values()];
        const fleet = {
            models,
            targets,
            requestedModels: new Set(requested(this.now - START)),
            demandByModel: new Map(Object.entries(demand)),
            groupsByModel: countCompleteGroups(this.groups()),
        };
        this.epoch += 1;
        const round: DomainPlanInput = input(
            targets.filter(target => target.domain === domain)
                .map(target => host(target.id, target, { statedAt: this.now })),
            {
                ...fleet,
                domain,
                reassignment: watch.update(fleet, this.now).find(granted => granted.domain === domain),
                loadsAreQuick: false,
                loadsAllowed,
                loadsAllowedSoon: loadsAllowed,
                fencingToken,
                nextEpoch: this.epoch,
                now: this.now,
            },
        );
        planner.plan(round).orders.forEach(order => this.apply(order));
    }

    private apply(order: EngineOrder): void {
        const handlers: OrderHandlers = {
            join: joined => this.join(joined),
            open: ({ host: id, group }) => this.setState(id, group, "open"),
            close: ({ host: id, group }) => {
                this.closed.add(group);
                this.setState(id, group, "closing");
                this.later(DRAIN_MILLISECONDS, () => this.setState(id, group, "ready"));
            },
            leave: ({ host: id }) => {
                const state = this.targets.get(id)?.membership?.state;
                if (state === "open" || state === "closing") {
                    this.violations.push(`${id} leaves while it serves`);
                }
                this.change(id, { membership: undefined });
            },
            stage: ({ host: id, model }) => {
                this.change(id, { busy: true });
                this.later(
                    profileOf(model).loadMilliseconds,
                    () => this.change(id, { busy: false, stagedModels: [model] }),
                );
            },
        };
        (handlers[order.kind] as (order: EngineOrder) => void)(order);
    }

    private join({ host: id, group, epoch, model, members }: JoinOrder): void {
        if (this.targets.get(id)?.membership !== undefined) {
            this.violations.push(`${id} joins ${group} while it is in another group`);
        }
        const membership = { group, epoch, rank: members.indexOf(id), state: "joining" } as const;
        this.change(id, { model, membership });
        this.later(JOIN_MILLISECONDS, () => this.setState(id, group, "ready"));
    }

    private setState(id: string, group: string, state: MembershipState): void {
        const membership = this.targets.get(id)?.membership;
        if (membership?.group === group) {
            this.change(id, { membership: { ...membership, state } });
        }
    }

    private change(id: string, fields: Partial<Target>): void {
        const target = this.targets.get(id);
        if (target !== undefined) {
            this.targets.set(id, { ...target, ...fields });
        }
    }

    private later(milliseconds: number, apply: () => void): void {
        this.events.push({ at: this.now + milliseconds, apply });
    }
}

function profileOf(name: string): ModelProfile {
    const profile = models.find(model => model.name === name);
    if (profile === undefined) {
        throw new Error(`No model ${name}.`);
    }
    return profile;
}
