/** Daemon of the simulation: the real lease, followers and state on a simulated connection to the store. */
import {
    createStoreEra,
    eraOf,
    type EraStatement,
    fencingTokenOf,
    generationOf,
    type RelayConfiguration,
    type StoreEra,
    type Target,
} from "@damaskvale/core";
import {
    createRelayState,
    type DaemonPresence,
    type EventLog,
    followTopic,
    type KeyedTopic,
    type PartitionAssignment,
    type PartitionLease,
    type RelayState,
    startPartitionLease,
    startPresence,
    StoreError,
    type TopicFollower,
} from "@damaskvale/daemon";
import { PARTITIONS, type StoredTopic, type StoreReplica } from "./store.js";

/** How answers of the store state its era. */
export type EraHeader = EraStatement["kind"];

/** State of the connection between a daemon and the store, and of the daemon's process. */
export interface DaemonCondition {
    readonly isCut: boolean;
    readonly isFrozen: boolean;
    /** Time that each answer takes. */
    readonly delayMilliseconds: number;
    readonly header: EraHeader;
}

/** Intervals of the reads of a daemon in milliseconds, which depend on the number of daemons. */
export interface ReadPace {
    readonly configurationWait: number;
    readonly configurationPause: number;
    readonly targetPause: number;
}

/** Collaborators of a simulated daemon. */
export interface SimulatedDaemonParts {
    readonly member: string;
    readonly now: () => number;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    /** Returns the replica that answers this daemon now. */
    readonly replica: () => StoreReplica;
    readonly pace: ReadPace;
    /** Called for each call that is sent to the store. */
    readonly onCall: () => void;
    readonly trace: (line: string) => void;
}

/** Lease of the ownership of domains, which the simulation checks planning against. */
export const LEASE_MILLISECONDS = 2_500;
const LEASE_EXTENSION_MILLISECONDS = 20_000;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const TARGETS_LONG_POLL_MILLISECONDS = 900;
const UNDISTURBED: DaemonCondition = { isCut: false, isFrozen: false, delayMilliseconds: 5, header: "stated" };

const sleep = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Simulated daemon. */
export class SimulatedDaemon {
    readonly era: StoreEra = createStoreEra();
    readonly state: RelayState = createRelayState();
    /** Targets that this process has read from the registry. */
    readonly seenTargets = new Set<string>();
    /** Daemons that this process knows. */
    knownDaemons: readonly string[] = [];
    private readonly lease: PartitionLease;
    private readonly followers: readonly TopicFollower[];
    /** Tokens that engines refused, by domain. */
    private readonly refusedTokens = new Map<string, number>();
    private condition = UNDISTURBED;
    private thaw: (() => void) | undefined;
    private thawed: Promise<void> = Promise.resolve();
    private isStopped = false;

    constructor(private readonly parts: SimulatedDaemonParts) {
        const log: EventLog = {
            emit: (event, fields) => parts.trace(`${parts.now()} ${parts.member} ${event} ${JSON.stringify(fields)}`),
        };
        this.lease = startPartitionLease({
            group: {
                partitionCount: PARTITIONS,
                renew: (lease, token) => this.renew(lease, token),
                leave: () => Promise.resolve(),
            },
            clock: { monotonic: parts.now, wall: parts.now },
            log,
            leaseMilliseconds: LEASE_MILLISECONDS,
            extensionMilliseconds: LEASE_EXTENSION_MILLISECONDS,
            isCandidate: () => true,
            isOfCurrentEra: token => eraOf(token) >= this.era.current(),
        });
        this.followers = [this.followConfigurations(log), this.followTargets(log), this.startPresence(log)];
        this.era.onRisen(() => this.lease.invalidate("The store came back from an older copy."));
        this.era.onRisen(() => this.followers.forEach(follower => follower.refresh(0)));
    }

    get member(): string {
        return this.parts.member;
    }

    /** Changes the condition; a daemon that is no longer frozen goes on with what has arrived meanwhile. */
    setCondition(condition: DaemonCondition = UNDISTURBED): void {
        this.condition = condition;
        if (condition.isFrozen && this.thaw === undefined) {
            this.thawed = new Promise(resolve => {
                this.thaw = resolve;
            });
        }
        else if (!condition.isFrozen) {
            this.thaw?.();
            this.thaw = undefined;
        }
    }

    /** Assignment with which this daemon gives orders for a domain now, if it does. */
    assignmentOf(domain: string, partition: number): PartitionAssignment | undefined {
        const assignment = this.isStopped || this.condition.isFrozen ? undefined : this.lease.current();
        const isPlanning = assignment?.partitions.includes(partition) === true
            && this.refusedTokens.get(domain) !== assignment.fencingToken;
        return isPlanning ? assignment : undefined;
    }

    recordRefused(domain: string, fencingToken: number): void {
        this.refusedTokens.set(domain, fencingToken);
    }

    /** Ends as a killed process does, without leaving the consumer group. */
    kill(): void {
        this.isStopped = true;
        this.setCondition({ ...UNDISTURBED, isCut: true });
        this.followers.forEach(follower => follower.stop());
        void this.lease.stop();
    }

    private async renew(lease: number, token: number): Promise<PartitionAssignment> {
        const known = generationOf(token, this.era.current());
        const { value: { generation, partitions }, era } = await this.call(replica =>
            Promise.resolve(replica.group.join(this.parts.member, lease, this.parts.now()))
        );
        this.parts.trace(`${this.parts.now()} ${this.parts.member} joined after ${known} as ${era}/${generation}`);
        return { fencingToken: fencingTokenOf(era, generation), partitions };
    }

    private followConfigurations(log: EventLog): TopicFollower {
        const apply = (values: readonly (RelayConfiguration | undefined)[]): void =>
            values.forEach(value => value !== undefined && this.state.applyConfiguration(value));
        return followTopic({
            topic: this.topicOf("configurations", replica => replica.configurations),
            log,
            random: this.parts.random,
            currentEra: () => this.era.current(),
            waitMilliseconds: () => this.parts.pace.configurationWait,
            pauseMilliseconds: () => this.parts.pace.configurationPause,
            replace: changes => apply(changes.map(({ value }) => value)),
            apply: changes => apply(changes.map(({ value }) => value)),
        });
    }

    private followTargets(log: EventLog): TopicFollower {
        return followTopic({
            topic: this.topicOf<Target>("targets", replica => replica.targets),
            log,
            random: this.parts.random,
            currentEra: () => this.era.current(),
            waitMilliseconds: () => TARGETS_LONG_POLL_MILLISECONDS,
            pauseMilliseconds: () => this.parts.pace.targetPause,
            replace: (changes, isRestored) => {
                changes.forEach(({ key }) => this.seenTargets.add(key));
                this.state.replaceTargets(changes.flatMap(({ value }) => value ?? []), isRestored);
            },
            apply: changes => {
                changes.forEach(({ key }) => this.seenTargets.add(key));
                this.state.applyTargets(changes);
            },
        });
    }

    private startPresence(log: EventLog): TopicFollower {
        const { member, now, random } = this.parts;
        const write = async (daemon: string, presence: DaemonPresence | undefined): Promise<number> => {
            const { era } = await this.call(replica =>
                Promise.resolve(replica.presences.append(daemon, presence, now()))
            );
            return era;
        };
        return startPresence({
            topic: {
                ...this.topicOf("presences", replica => replica.presences),
                announce: presence => write(presence.daemon, presence),
                withdraw: async daemon => {
                    await write(daemon, undefined);
                },
            },
            self: { daemon: member, ip: "127.0.0.1", dataCentre: "a" },
            log,
            random,
            storeEra: this.era,
            setPeers: peers => {
                this.knownDaemons = peers.map(({ daemon }) => daemon);
            },
        });
    }

    private topicOf<Value>(name: string, topicOf: (replica: StoreReplica) => StoredTopic<Value>): KeyedTopic<Value> {
        return {
            name,
            readLatest: async () => {
                const { value, era } = await this.call(replica => Promise.resolve(topicOf(replica).readLatest()));
                return { ...value, era };
            },
            readFrom: async (offset, waitMilliseconds, signal) => {
                const { value, era } = await this.call(async replica => {
                    const topic = topicOf(replica);
                    const aborted = new Promise<never>((...[, reject]) =>
                        signal?.addEventListener("abort", () => reject(new StoreError("unanswered", "aborted")))
                    );
                    await Promise.race([topic.waitFor(offset), sleep(waitMilliseconds), aborted]);
                    return topic.readFrom(offset);
                });
                return value === undefined ? undefined : { ...value, era };
            },
        };
    }

    /** Calls the replica that answers this daemon now; the answer arrives later, and while the process is not frozen. */
    private async call<Value>(
        run: (replica: StoreReplica) => Promise<Value>,
    ): Promise<{ readonly value: Value; readonly era: number; }> {
        await this.thawed;
        this.parts.onCall();
        const sentInEra = this.era.current();
        await this.failIfCut();
        const replica = this.parts.replica();
        const { header, delayMilliseconds } = this.condition;
        const value = await run(replica);
        await sleep(delayMilliseconds);
        await this.failIfCut();
        await this.thawed;
        return { value, era: this.era.observe(statementOf(header, replica.era), sentInEra) };
    }

    private async failIfCut(): Promise<void> {
        if (this.condition.isCut) {
            await sleep(CALL_TIMEOUT_MILLISECONDS);
            throw new StoreError("unanswered", "The daemon is cut off.");
        }
    }
}

function statementOf(header: EraHeader, era: number): EraStatement {
    const statements: Readonly<Record<EraHeader, EraStatement>> = {
        stated: { kind: "stated", era },
        missing: { kind: "missing" },
        unreadable: { kind: "unreadable", text: "x" },
    };
    return statements[header];
}
