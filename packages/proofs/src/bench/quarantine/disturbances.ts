/** Disturbances of the simulated fleet, which happen at their times. */
import type { FalseBlames } from "./falseblames.js";
import type { Disturbance, FleetWorld } from "./partfleettypes.js";
import type { TargetProcesses } from "./targetprocesses.js";

type DisturbanceOf<Kind extends Disturbance["kind"]> = Extract<Disturbance, { readonly kind: Kind; }>;

/** Schedules disturbances. */
export class Disturbances {
    constructor(
        private readonly world: FleetWorld,
        private readonly processes: TargetProcesses,
        private readonly falseBlames: FalseBlames,
    ) {}

    prepare(disturbance: Disturbance): void {
        const prepareByKind: { readonly [Kind in Disturbance["kind"]]: (found: never) => void; } = {
            kill: (found: DisturbanceOf<"kill">) => this.prepareKill(found),
            reset: ({ at, daemon, targets }: DisturbanceOf<"reset">) =>
                this.world.time.schedule(at, () => this.reset(daemon, targets)),
            // Whether a daemon is cut off is read from the options.
            cut: () => undefined,
            pause: (found: DisturbanceOf<"pause">) => this.preparePause(found),
            restart: ({ at, daemon }: DisturbanceOf<"restart">) =>
                this.world.time.schedule(at, () => this.restart(daemon)),
        };
        prepareByKind[disturbance.kind](disturbance as never);
    }

    private prepareKill({ at, targets, spread }: DisturbanceOf<"kill">): void {
        const { time } = this.world;
        targets.flatMap(index => this.world.targets[index] ?? []).forEach(target =>
            time.schedule(at + time.random() * spread, () => this.processes.crash(target))
        );
    }

    private preparePause({ from, until, daemons }: DisturbanceOf<"pause">): void {
        this.world.time.schedule(
            from,
            () =>
                daemons.flatMap(index => this.world.daemons[index] ?? []).forEach(daemon => {
                    daemon.pausedUntil = until;
                    daemon.disturbedAt = until;
                }),
        );
    }

    private reset(index: number, targets: readonly number[]): void {
        const daemon = this.world.daemons[index];
        if (daemon !== undefined) {
            this.processes.reset(daemon, targets.flatMap(target => this.world.targets[target] ?? []));
        }
    }

    private restart(index: number): void {
        const { daemons, connectivity, time, options } = this.world;
        const daemon = daemons[index];
        if (daemon !== undefined && connectivity.isRunning(daemon)) {
            this.processes.endStreamsOf(daemon);
            this.falseBlames.endAll(daemon, time.now);
            daemon.quarantine = options.createQuarantine();
            daemon.heardAt.clear();
            daemon.disturbedAt = time.now;
        }
    }
}
