/**
 * Simulation of daemons whose callers send prompts with shared parts, some of which crash the process that answers. Time
 * is simulated; what a daemon blames and refuses is decided by a quarantine, so that ways to decide can be compared.
 */
import { Callers } from "./callers.js";
import { Connectivity } from "./connectivity.js";
import { Disturbances } from "./disturbances.js";
import { FalseBlames } from "./falseblames.js";
import { PartExchange } from "./partexchange.js";
import type {
    Daemon,
    FalseBlame,
    FleetWorld,
    HarmfulAttempt,
    HarmfulCrash,
    PartFleetOptions,
    RecordedStatement,
    SoundRequest,
} from "./partfleettypes.js";
import { SimulatedTime, TICK_MILLISECONDS } from "./simulatedtime.js";
import { createTargets, TargetProcesses } from "./targetprocesses.js";

/** Ticks between two looks at the false quarantines. */
const TICKS_PER_LOOK = 10;

/** Simulated fleet. */
export class PartFleet {
    private readonly world: FleetWorld;
    private readonly exchange: PartExchange;
    private readonly callers: Callers;
    private readonly falseQuarantines: FalseBlames;

    constructor(private readonly options: PartFleetOptions) {
        this.world = createWorld(options);
        this.exchange = new PartExchange(this.world);
        const processes = new TargetProcesses(
            this.world,
            this.exchange,
            (daemon, request) => this.callers.retry(daemon, request),
        );
        this.callers = new Callers(
            this.world,
            this.exchange,
            (daemon, request, target) => processes.open(daemon, request, target),
        );
        this.falseQuarantines = new FalseBlames(this.world.daemons, options.harmful);
        const disturbances = new Disturbances(this.world, processes, this.falseQuarantines);
        options.disturbances.forEach(disturbance => disturbances.prepare(disturbance));
    }

    get now(): number {
        return this.world.time.now;
    }

    get daemons(): readonly Daemon[] {
        return this.world.daemons;
    }

    get attempts(): readonly HarmfulAttempt[] {
        return this.world.attempts;
    }

    get crashes(): readonly HarmfulCrash[] {
        return this.world.crashes;
    }

    get statements(): readonly RecordedStatement[] {
        return this.world.statements;
    }

    get sound(): readonly SoundRequest[] {
        return this.world.sound;
    }

    get falseBlames(): readonly FalseBlame[] {
        return this.falseQuarantines.ended;
    }

    /** Runs until `end`. */
    run(end = this.options.milliseconds): void {
        const { time, daemons, connectivity } = this.world;
        for (; time.now < end; time.now += TICK_MILLISECONDS) {
            time.runDue();
            this.callers.arrive();
            daemons.filter(daemon => connectivity.isRunning(daemon)).forEach(daemon => this.exchange.turn(daemon));
            if (time.tick % TICKS_PER_LOOK === 0) {
                this.falseQuarantines.update(time.now);
            }
        }
    }

    /** Ends the false quarantines that still hold, so that they are counted. */
    finish(): void {
        this.daemons.forEach(daemon => this.falseQuarantines.endAll(daemon, this.now));
    }
}

function createWorld(options: PartFleetOptions): FleetWorld {
    const time = new SimulatedTime(options.random);
    return {
        options,
        time,
        connectivity: new Connectivity(time, options.disturbances),
        daemons: [...Array(options.daemons).keys()].map(index => createDaemon(index, options)),
        targets: createTargets(options.targets),
        attempts: [],
        crashes: [],
        statements: [],
        sound: [],
        isHarmful: part =>
            options.harmful.some(harm => harm.part === part && time.now >= harm.from && time.now < harm.until),
        trace: line => options.trace?.(`${time.now}: ${line}`),
    };
}

function createDaemon(index: number, { createQuarantine }: PartFleetOptions): Daemon {
    return {
        index,
        quarantine: createQuarantine(),
        disturbedAt: Number.NEGATIVE_INFINITY,
        pausedUntil: 0,
        heardAt: new Map(),
        announced: false,
        blames: new Map(),
    };
}
