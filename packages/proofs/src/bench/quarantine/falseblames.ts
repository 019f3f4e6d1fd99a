/** Records for how long each daemon quarantines parts that crash nothing. */
import type { Daemon, FalseBlame, HarmfulPart } from "./partfleettypes.js";

/** Records of false quarantines. */
export class FalseBlames {
    readonly ended: FalseBlame[] = [];

    constructor(private readonly daemons: readonly Daemon[], private readonly harmful: readonly HarmfulPart[]) {}

    /** Records the false quarantines that have begun or ended. */
    update(now: number): void {
        this.daemons.forEach(daemon => {
            const parts = daemon.quarantine.quarantined().map(({ part }) => part);
            parts.filter(part => this.isSound(part) && !daemon.blames.has(part))
                .forEach(part => daemon.blames.set(part, now));
            [...daemon.blames.keys()].filter(part => !parts.includes(part)).forEach(part =>
                this.end(daemon, part, now)
            );
        });
    }

    /** Ends the false quarantines of a daemon that still hold. */
    endAll(daemon: Daemon, now: number): void {
        [...daemon.blames.keys()].forEach(part => this.end(daemon, part, now));
    }

    private isSound(part: string): boolean {
        return !this.harmful.some(harm => harm.part === part);
    }

    private end(daemon: Daemon, part: string, now: number): void {
        const from = daemon.blames.get(part) ?? now;
        daemon.blames.delete(part);
        this.ended.push({ part, daemon: daemon.index, from, milliseconds: now - from });
    }
}
