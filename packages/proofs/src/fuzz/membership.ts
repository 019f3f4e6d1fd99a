/**
 * Fuzz module of membership: runs the membership tasks of several daemons over a fake network with partitions, delays,
 * pauses, crashes and restarts.
 */
import { MembershipTask } from "@damaskvale/daemon/dist/tasks/membership.js";
import { FakePeerNetwork } from "@damaskvale/daemon/dist/tasks/tests/fakepeernetwork.js";
import { noMetrics } from "@damaskvale/daemon/dist/tasks/tests/fakes.js";
import { type Clock as FakeClock, install } from "@sinonjs/fake-timers";
import fc from "fast-check";
import { createFuzzModule, type FuzzModule, type Trace } from "./types.js";

const names = ["x-1", "x-2", "x-3", "y-1", "y-2", "z-1", "z-2"];
/** Long enough to connect, suspect, declare dead, refute and probe all members once over slow links. */
const SETTLE_MILLISECONDS = 40_000;
const STABLE_MILLISECONDS = 10_000;

/** One fault or repair. Numbers choose daemons by index. */
type Action =
    | { readonly kind: "isolate" | "join" | "pause" | "resume" | "crash" | "leave"; readonly daemon: number; }
    | { readonly kind: "restart"; readonly daemon: number; readonly incarnation: string; }
    | { readonly kind: "cutDataCentre"; readonly dataCentre: string; }
    | { readonly kind: "delay"; readonly milliseconds: number; }
    | { readonly kind: "heal"; };

interface Scenario {
    readonly seed: number;
    readonly steps: readonly { readonly action: Action; readonly milliseconds: number; }[];
}

const daemon = fc.nat(names.length - 1);
const actions: fc.Arbitrary<Action> = fc.oneof(
    fc.record({
        kind: fc.constantFrom("isolate", "join", "pause", "resume", "crash", "leave"),
        daemon,
    }) as fc.Arbitrary<
        Action
    >,
    fc.record({ kind: fc.constant("restart"), daemon, incarnation: fc.constantFrom("0", "1", "2", "3") }),
    fc.record({ kind: fc.constant("cutDataCentre"), dataCentre: fc.constantFrom("x", "y", "z") }),
    fc.record({ kind: fc.constant("delay"), milliseconds: fc.constantFrom(1, 50, 900, 1_500) }),
    fc.record({ kind: fc.constant("heal") }),
);
const scenarios: fc.Arbitrary<Scenario> = fc.record({
    seed: fc.nat(),
    steps: fc.array(
        fc.record({ action: actions, milliseconds: fc.constantFrom(0, 300, 1_200, 5_000, 30_000) }),
        { maxLength: 10 },
    ),
});

/** Fuzz module of membership. */
export const membershipFuzz: FuzzModule = createFuzzModule("membership", scenarios, runScenario);

async function runScenario(scenario: Scenario, trace: Trace): Promise<void> {
    const timers = install();
    const cluster = new Cluster(timers, scenario.seed);
    try {
        names.forEach(name => cluster.start(name, "1"));
        await timers.tickAsync(5_000);
        for (const { action, milliseconds } of scenario.steps) {
            trace(`${Math.round(performance.now())} ${JSON.stringify(action)}`);
            await cluster.apply(action);
            await timers.tickAsync(milliseconds);
            cluster.check();
        }
        trace(`${Math.round(performance.now())} all faults end`);
        cluster.heal();
        await timers.tickAsync(SETTLE_MILLISECONDS);
        cluster.checkConverged();
        const changes = cluster.changes;
        await timers.tickAsync(STABLE_MILLISECONDS);
        if (cluster.changes !== changes) {
            throw new Error(`${cluster.changes - changes} member states changed without a fault`);
        }
    }
    finally {
        await cluster.stop();
        timers.uninstall();
    }
}

class Cluster {
    changes = 0;
    private readonly network = new FakePeerNetwork();
    private readonly running = new Map<string, MembershipTask>();
    private readonly isolated = new Set<string>();
    private readonly stopped = new Set<string>();

    constructor(private readonly timers: FakeClock, private readonly seed: number) {
        this.network.isPartitioned = (one, other) =>
            [one, other].some(name => this.isolated.has(name) || this.stopped.has(name))
            || (this.isolated.has(one.slice(0, 1)) !== this.isolated.has(other.slice(0, 1)));
    }

    start(name: string, incarnation: string): void {
        this.stopped.delete(name);
        const dataCentre = name.slice(0, 1);
        const task = new MembershipTask({
            self: { daemon: name, dataCentre, address: name, incarnation },
            seeds: names.slice(0, 2),
            network: this.network.join(name, dataCentre).network,
            clock: { monotonic: () => performance.now(), wall: () => Date.now() },
            metrics: noMetrics,
            eventLog: { emit: () => this.changes += 1 },
            seed: this.seed + names.indexOf(name),
            shared: { offsets: () => ({}), demand: () => ({}), models: () => [], observations: () => [] },
            onOffsets: () => undefined,
            onDemand: () => undefined,
            onObservations: () => undefined,
        });
        this.running.set(name, task);
        task.start();
    }

    async apply(action: Action): Promise<void> {
        const name = "daemon" in action ? names[action.daemon] as string : "";
        const handlers: Record<Action["kind"], () => unknown> = {
            isolate: () => this.isolated.add(name),
            join: () => this.isolated.delete(name),
            pause: () => this.network.paused.add(name),
            resume: () => this.network.paused.delete(name),
            crash: () => this.stopDaemon(name, true),
            leave: () => this.stopDaemon(name, false),
            restart: async () => {
                await this.stopDaemon(name, true);
                this.start(name, action.kind === "restart" ? action.incarnation : "1");
            },
            cutDataCentre: () => action.kind === "cutDataCentre" && this.isolated.add(action.dataCentre),
            delay: () => this.network.delayMilliseconds = action.kind === "delay" ? action.milliseconds : 1,
            heal: () => this.heal(),
        };
        await handlers[action.kind]();
    }

    heal(): void {
        this.isolated.clear();
        this.network.paused.clear();
        this.network.delayMilliseconds = 1;
    }

    /** Checks that every running daemon counts itself as live. */
    check(): void {
        const wrong = [...this.running].find(([name, task]) => !liveMembers(task).includes(name));
        if (wrong !== undefined) {
            throw new Error(`${wrong[0]} does not count itself as live`);
        }
    }

    /** Checks that every running daemon counts exactly the running daemons as live. */
    checkConverged(): void {
        const expected = [...this.running.keys()].toSorted().join(" ");
        this.running.forEach((task, name) => {
            const found = liveMembers(task).join(" ");
            if (found !== expected) {
                throw new Error(`${name} counts ${found} as live, expected ${expected}`);
            }
        });
    }

    async stop(): Promise<void> {
        await Promise.all([...this.running.values()].map(task => task.stop()));
        this.timers.reset();
    }

    private async stopDaemon(name: string, crash: boolean): Promise<void> {
        const task = this.running.get(name);
        this.running.delete(name);
        if (crash) {
            this.stopped.add(name);
        }
        await task?.stop();
        await this.timers.tickAsync(crash ? 0 : 100);
        this.stopped.add(name);
    }
}

function liveMembers(task: MembershipTask): string[] {
    return task.members.current().live.map(member => member.daemon);
}
