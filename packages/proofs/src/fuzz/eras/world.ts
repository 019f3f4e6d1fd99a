/** Simulated daemons, engines, operators and targets around a store that comes back from older copies. */
import { ok } from "node:assert/strict";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { type DaemonCondition, LEASE_MILLISECONDS, type ReadPace, SimulatedDaemon } from "./daemon.js";
import { PARTITIONS, StoreReplica } from "./store.js";
import { configurationOf, SERVICE, targetOf } from "./values.js";

/** Time after the last disturbance within which each domain must be planned again: the lease, and a bounded time. */
export const PLANNED_AGAIN_MILLISECONDS = LEASE_MILLISECONDS + 2_000;
/** Time after the last disturbance or write within which all daemons must have the newest configuration. */
const CONFIGURED_MILLISECONDS = 2_500;
/** A daemon counts this long after a disturbance of its own as disturbed. */
const SETTLED_MILLISECONDS = 3_000;
/** A planned domain gets orders in each round. */
const UNPLANNED_MILLISECONDS = 400;
const ORDER_MILLISECONDS = 40;
const ENGINES_PER_DOMAIN = 2;
const PACE: ReadPace = { configurationWait: 900, configurationPause: 200, targetPause: 200 };
const CONFIGURATION_KEY = "config";
const RANDOM_RANGE = 1_000_000;

interface Engine {
    highestToken: number;
}

interface Domain {
    readonly name: string;
    readonly partition: number;
    readonly engines: readonly Engine[];
    /** Daemon whose orders engines accepted, by token. */
    readonly owners: Map<number, string>;
    plannedAt: number;
}

/** A registered target, which writes its entry again after the store came back. */
interface RegisteredTarget {
    readonly id: string;
    isDraining: boolean;
}

/** Options of a world. */
export interface WorldOptions {
    readonly daemons: number;
    readonly domains: number;
    readonly now: () => number;
    readonly generator: RandomGenerator;
    readonly trace: (line: string) => void;
}

/** World of one scenario. */
export class World {
    private readonly daemons: SimulatedDaemon[] = [];
    private readonly domains: readonly Domain[];
    private readonly targets: RegisteredTarget[] = [];
    private newest = new StoreReplica(1);
    private previous: StoreReplica | undefined;
    /** Replicas of earlier eras that still answer some daemons, by daemon. */
    private readonly earlier = new Map<number, StoreReplica>();
    private readonly disturbedAt: number[] = [];
    /** Time of the last disturbance of any kind. */
    private lastDisturbedAt = 0;
    private lastConfiguredAt = 0;
    private version = 0;
    private starts = 0;
    private readonly versionsInForce = new Map<SimulatedDaemon, number>();
    /** Targets that a daemon has seen draining. */
    private readonly seenDraining = new Map<SimulatedDaemon, Set<string>>();

    constructor(private readonly options: WorldOptions) {
        this.domains = Array.from({ length: options.domains }, (...[, index]) => ({
            name: `domain-${index}`,
            partition: index % PARTITIONS,
            engines: Array.from({ length: ENGINES_PER_DOMAIN }, () => ({ highestToken: 0 })),
            owners: new Map<number, string>(),
            plannedAt: options.now(),
        }));
        this.configure();
        this.registerTarget();
        this.noteDisturbance();
        Array.from({ length: options.daemons }, (...[, index]) => this.startDaemon(index));
    }

    /** Writes the next version of the configuration. */
    configure(): void {
        this.version += 1;
        this.writeConfiguration();
    }

    registerTarget(): void {
        const target = { id: `target-${this.targets.length}`, isDraining: false };
        this.targets.push(target);
        this.writeTarget(target);
    }

    drainTarget(index: number): void {
        const target = this.targets[index % this.targets.length];
        if (target !== undefined) {
            target.isDraining = true;
            this.writeTarget(target);
        }
    }

    /**
     * Brings the store back from a copy of an earlier time. Operators and targets write again within
     * `rewriteMilliseconds`.
     */
    restore(ageMilliseconds: number, rewriteMilliseconds: number): void {
        const { now, trace } = this.options;
        const previous = this.newest;
        this.newest = previous.restoreAt(now() - ageMilliseconds);
        trace(`${now()} era ${this.newest.era} from a copy ${ageMilliseconds} ms old`);
        this.previous = previous;
        previous.closeConnections();
        const { version } = this;
        this.later(rewriteMilliseconds, () => this.rewriteConfiguration(version));
        [...this.targets].forEach(target => this.later(rewriteMilliseconds, () => this.writeTarget(target)));
        this.noteDisturbance();
    }

    /** Lets the replica of the era before the newest one answer some daemons. */
    serveByEarlier(daemons: readonly number[]): void {
        const { previous } = this;
        if (previous !== undefined) {
            daemons.forEach(daemon => this.earlier.set(daemon, previous));
            this.newest.closeConnections();
        }
    }

    /** Lets the newest replica answer all daemons. */
    endSplit(): void {
        if (this.earlier.size > 0) {
            [...this.earlier].forEach(([daemon, replica]) => {
                replica.closeConnections();
                this.disturbedAt[daemon] = this.options.now();
            });
            this.earlier.clear();
            this.noteDisturbance();
        }
    }

    /**
     * Sets the condition of all daemons; `conditionOf` returns none for those that are undisturbed. Answers to a daemon that
     * does not know the newest era state it: without a statement, they could not be distinguished from those of an earlier one.
     */
    setConditions(conditionOf: (daemon: number) => DaemonCondition | undefined): void {
        this.daemons.forEach((daemon, index) => {
            const condition = conditionOf(index);
            const isKnown = daemon.era.current() === this.newest.era && !this.earlier.has(index);
            daemon.setCondition(condition && { ...condition, header: isKnown ? condition.header : "stated" });
            if (condition !== undefined) {
                this.noteDisturbance(index);
            }
        });
    }

    restartDaemon(index: number): void {
        if (index < this.daemons.length) {
            this.daemons[index]?.kill();
            this.startDaemon(index);
            this.noteDisturbance(index);
        }
    }

    /** Marks a time at which a daemon, or the platform, is disturbed. */
    noteDisturbance(daemon?: number): void {
        this.lastDisturbedAt = this.options.now();
        if (daemon !== undefined) {
            this.disturbedAt[daemon] = this.lastDisturbedAt;
        }
    }

    /** Lets each daemon give orders for the domains that it owns. */
    planRound(): void {
        this.domains.forEach(domain =>
            this.daemons.forEach(daemon => {
                const assignment = daemon.assignmentOf(domain.name, domain.partition);
                if (assignment !== undefined) {
                    domain.engines.forEach(engine => this.order(daemon, domain, engine, assignment.fencingToken));
                }
            })
        );
    }

    /** Checks all invariants; throws if one is violated. */
    check(): void {
        const now = this.options.now();
        this.daemons.forEach((daemon, index) => {
            this.checkVersion(daemon);
            this.checkDraining(daemon);
            if (now - (this.disturbedAt[index] ?? 0) > SETTLED_MILLISECONDS) {
                this.checkTargets(daemon);
            }
        });
        if (now - this.lastDisturbedAt > PLANNED_AGAIN_MILLISECONDS) {
            this.daemons.forEach(daemon => this.checkPresence(daemon));
            this.domains.forEach(({ name, plannedAt }) =>
                ok(
                    now - plannedAt < UNPLANNED_MILLISECONDS,
                    `${name} is not planned at ${now}, ${now - this.lastDisturbedAt} ms after the last disturbance`,
                )
            );
        }
        if (now - Math.max(this.lastDisturbedAt, this.lastConfiguredAt) > CONFIGURED_MILLISECONDS) {
            this.daemons.forEach(daemon =>
                ok(
                    this.versionOf(daemon) === this.version,
                    `${daemon.member} has version ${this.versionOf(daemon)} and not ${this.version} at ${now}`,
                )
            );
        }
    }

    stop(): void {
        this.daemons.forEach(daemon => daemon.kill());
    }

    private startDaemon(index: number): void {
        const { now, generator, trace } = this.options;
        this.starts += 1;
        this.daemons[index] = new SimulatedDaemon({
            member: `d${index}-${this.starts}`,
            now,
            random: () => uniformInt(generator, 0, RANDOM_RANGE - 1) / RANDOM_RANGE,
            replica: () => this.earlier.get(index) ?? this.newest,
            pace: PACE,
            onCall: () => undefined,
            trace,
        });
        this.disturbedAt[index] = now();
    }

    private order(daemon: SimulatedDaemon, domain: Domain, engine: Engine, token: number): void {
        setTimeout(() => {
            if (token < engine.highestToken) {
                daemon.recordRefused(domain.name, token);
                return;
            }
            engine.highestToken = token;
            domain.plannedAt = this.options.now();
            const owner = domain.owners.get(token) ?? daemon.member;
            domain.owners.set(token, owner);
            ok(owner === daemon.member, `${owner} and ${daemon.member} own ${domain.name} with token ${token}`);
        }, ORDER_MILLISECONDS);
    }

    private checkVersion(daemon: SimulatedDaemon): void {
        const before = this.versionsInForce.get(daemon) ?? 0;
        const version = this.versionOf(daemon);
        ok(version >= before, `${daemon.member} went back from version ${before} to ${version}`);
        this.versionsInForce.set(daemon, version);
    }

    /** A target that a daemon has seen draining must not serve again there. */
    private checkDraining(daemon: SimulatedDaemon): void {
        const seen = this.seenDraining.get(daemon) ?? new Set();
        this.seenDraining.set(daemon, seen);
        daemon.state.targets().filter(({ draining }) => draining).forEach(({ id }) => seen.add(id));
        daemon.state.servingTargets(SERVICE).forEach(({ id }) =>
            ok(!seen.has(id), `${daemon.member} sends to ${id}, which it has seen draining`)
        );
    }

    private checkTargets(daemon: SimulatedDaemon): void {
        const serving = new Set(daemon.state.servingTargets(SERVICE).map(({ id }) => id));
        this.targets.filter(({ id, isDraining }) => !isDraining && daemon.seenTargets.has(id)).forEach(({ id }) =>
            ok(serving.has(id), `${daemon.member} has dropped ${id}, which is sound, at ${this.options.now()}`)
        );
    }

    private checkPresence(daemon: SimulatedDaemon): void {
        this.daemons.filter(({ member }) => !daemon.knownDaemons.includes(member)).forEach(({ member }) =>
            ok(false, `${daemon.member} does not know ${member} at ${this.options.now()}`)
        );
    }

    private versionOf(daemon: SimulatedDaemon): number {
        return daemon.state.lookup()?.configuration.version ?? 0;
    }

    /** Runs an action at a random time up to a delay. */
    private later(milliseconds: number, action: () => void): void {
        setTimeout(action, uniformInt(this.options.generator, 0, milliseconds));
    }

    /** Writes a version again unless a newer one was written since. */
    private rewriteConfiguration(version: number): void {
        if (version === this.version) {
            this.writeConfiguration();
        }
    }

    private writeConfiguration(): void {
        const now = this.options.now();
        this.newest.configurations.append(CONFIGURATION_KEY, configurationOf(this.version), now);
        this.lastConfiguredAt = now;
    }

    private writeTarget({ id, isDraining }: RegisteredTarget): void {
        this.newest.targets.append(id, targetOf(id, isDraining), this.options.now());
    }
}
