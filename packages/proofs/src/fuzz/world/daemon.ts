/** Simulated daemons of a scenario: each follows a few streams through fake ports. */
import { encodeSnapshot, type FoldDefinition, type FoldState } from "@damaskvale/core";
import {
    type Clock,
    createFollowedStream,
    createStreamExchange,
    type FollowedStream,
    type PeerNetwork,
} from "@damaskvale/daemon";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Trace } from "../types.js";
import { FakeNetwork } from "./network.js";
import { FakePlatform } from "./platform.js";
import type { SimulatedTime } from "./time.js";

/** Names of the daemons. */
export const daemonNames = ["a", "b", "c"] as const;
/** Name of a daemon. */
export type DaemonName = typeof daemonNames[number];

/** Process of a daemon. After a kill it sends and receives nothing. */
export interface DaemonProcess<State, Body> {
    readonly name: DaemonName;
    readonly incarnation: string;
    readonly streams: readonly FollowedStream<State, Body>[];
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly random: () => number;
    isAlive: boolean;
}

/** Called on each new state of a process. */
export type StateListener<State> = (
    process: { readonly name: string; readonly incarnation: string; },
    stream: string,
    folded: FoldState<State>,
) => void;

/** Daemons with their fake platform and network. */
export class SimulatedCluster<State, Body> {
    readonly platform: FakePlatform;
    readonly network = new FakeNetwork();
    readonly processes = new Map<DaemonName, DaemonProcess<State, Body>>();
    /** Violations that were found in callbacks of the code under test, which would catch the errors. */
    private readonly violations: Error[] = [];
    private starts = 0;

    constructor(
        readonly time: SimulatedTime,
        private readonly definition: FoldDefinition<State, Body>,
        private readonly streamNames: readonly string[],
        private readonly trace: Trace,
        private readonly onState: StateListener<State>,
    ) {
        this.platform = new FakePlatform(time);
    }

    /** Starts a process; an earlier one with the same name must have been killed. */
    start(name: DaemonName): DaemonProcess<State, Body> {
        this.starts += 1;
        const incarnation = String(this.starts);
        const network = this.network.attach(name);
        const clock = { monotonic: () => this.time.now(), wall: () => this.time.now() };
        const generator = xoroshiro128plus(this.starts);
        const random = () => (generator.next() >>> 0) / 2 ** 32;
        const author = { daemon: name, incarnation };
        const events = {
            emit: (event: string, fields?: object) => {
                if (event !== "streamMalformed") {
                    this.trace(`  ${name}#${incarnation} ${event} ${JSON.stringify(fields)}`);
                }
            },
        };
        const exchange = createStreamExchange(network, events);
        const metrics = { increment: () => undefined, gauge: () => undefined, timing: () => undefined };
        const log = this.platform.client(name);
        const streams = this.streamNames.map(stream =>
            createFollowedStream({
                name: stream,
                definition: this.definition,
                author,
                log,
                exchange,
                clock,
                events,
                metrics,
                random,
            })
        );
        const started: DaemonProcess<State, Body> = {
            name,
            incarnation,
            streams,
            network,
            clock,
            random,
            isAlive: true,
        };
        streams.forEach(stream => this.watch(started, stream));
        this.processes.set(name, started);
        return started;
    }

    kill(name: DaemonName): void {
        const killed = this.processes.get(name);
        if (killed !== undefined) {
            killed.isAlive = false;
            killed.streams.forEach(stream => void stream.stop());
            this.network.detach(name);
            this.processes.delete(name);
        }
    }

    /** Advances the time. Daemons with open links exchange their offsets every 300 ms, as membership probes do. */
    async advance(milliseconds: number): Promise<void> {
        for (let left = milliseconds; left > 0; left -= 300) {
            await this.time.advance(Math.min(300, left));
            this.exchangeOffsets();
        }
    }

    /** Ends all faults. */
    heal(): void {
        daemonNames.forEach(name => {
            this.platform.setFault(name, "none");
            this.network.setCutOff(name, false);
        });
        this.platform.commitDelayedAppends();
    }

    stop(): void {
        [...this.processes.keys()].forEach(name => this.kill(name));
    }

    /** Records a violation for `check` to throw, unless the invariant holds. */
    recordViolationUnless(holds: boolean, message: string): void {
        if (!holds) {
            this.violations.push(new Error(message));
        }
    }

    /** Throws the first recorded violation, or an error if two processes have different states at the same offset. */
    check(): void {
        this.violations.forEach(violation => {
            throw violation;
        });
        this.streamNames.forEach((name, index) => {
            const byOffset = new Map<number, string>();
            this.processes.forEach(({ streams }) => {
                const folded = streams[index]?.folded.current();
                if (folded !== undefined) {
                    const { sha256, nextOffset } = encodeSnapshot(name, folded);
                    const other = byOffset.get(nextOffset) ?? sha256;
                    assertInvariant(other === sha256, `two states of ${name} at offset ${nextOffset}`);
                    byOffset.set(nextOffset, sha256);
                }
            });
        });
    }

    private watch(watched: DaemonProcess<State, Body>, stream: FollowedStream<State, Body>): void {
        let last = 0;
        stream.folded.subscribe(folded => {
            if (!watched.isAlive) {
                return;
            }
            try {
                assertInvariant(
                    folded.nextOffset >= last,
                    `${watched.name} went back from offset ${last} of ${stream.name}`,
                );
                last = folded.nextOffset;
                this.onState(watched, stream.name, folded);
            }
            catch (error) {
                this.violations.push(error as Error);
            }
        });
        stream.start();
    }

    private exchangeOffsets(): void {
        const processes = [...this.processes.values()];
        processes.forEach(one =>
            processes.filter(other => this.network.isOpen(one.name, other.name) && other !== one).forEach(other =>
                one.streams.forEach((stream, index) =>
                    other.streams[index]?.receivePeerOffset(one.name, stream.folded.current().nextOffset)
                )
            )
        );
    }
}

/** Throws an error with the message if the invariant does not hold. */
export function assertInvariant(holds: boolean, message: string): void {
    if (!holds) {
        throw new Error(message);
    }
}
