/** Exchange of what the simulated daemons know about parts, with delays and losses. */
import { type PartStatement, rendezvous } from "@damaskvale/core";
import { type Daemon, type FleetWorld, shiftReport } from "./partfleettypes.js";
import { TICK_MILLISECONDS } from "./simulatedtime.js";

const EXCHANGE_MILLISECONDS = 150;
const MAXIMUM_DELAY_MILLISECONDS = 60;
/** A daemon counts as reachable this long after its last message. */
const HEARD_MILLISECONDS = 2_000;

/** Exchange between the daemons. */
export class PartExchange {
    constructor(private readonly world: FleetWorld) {}

    /** Notes decisions of a daemon, which it tells at its next turn. */
    record(daemon: Daemon, changes: readonly PartStatement[]): void {
        const { time, statements, trace } = this.world;
        changes.forEach(statement => {
            const { part, state, cause, crashes } = statement;
            trace(`d${daemon.index}: ${part} is ${state} by ${cause}, ${crashes} crashes`);
            statements.push({ at: time.now, daemon: daemon.index, statement });
        });
        daemon.announced ||= changes.length > 0;
    }

    /** Lets a daemon tell the others what it knows, if there is news or if it is its turn. */
    turn(daemon: Daemon): void {
        const { time, connectivity } = this.world;
        if (connectivity.isCut(daemon)) {
            daemon.disturbedAt = time.now;
        }
        if (daemon.announced || (time.now + daemon.index * TICK_MILLISECONDS) % EXCHANGE_MILLISECONDS === 0) {
            daemon.announced = false;
            this.announce(daemon);
        }
    }

    /** Whether a daemon is the one that tries a part again. */
    mayTry(daemon: Daemon, part: string): boolean {
        const { time, daemons } = this.world;
        const heard = daemons.filter(other =>
            other === daemon
            || time.now - (daemon.heardAt.get(other.index) ?? Number.NEGATIVE_INFINITY) < HEARD_MILLISECONDS
        );
        const names = heard.map(({ index }) => `d${index}`);
        return heard.length * 2 > daemons.length && rendezvous(part, names, 1)[0] === `d${daemon.index}`;
    }

    private announce(from: Daemon): void {
        const { time, daemons, connectivity, options } = this.world;
        const message = shiftReport(from.quarantine.report(time.now), -time.now);
        if (connectivity.isCut(from)) {
            return;
        }
        daemons.filter(to => to !== from && !connectivity.isCut(to) && time.random() >= options.loss).forEach(to =>
            time.schedule(time.now + time.random() * MAXIMUM_DELAY_MILLISECONDS, () =>
                connectivity.runIn(to, () => {
                    to.heardAt.set(from.index, time.now);
                    this.record(to, to.quarantine.merge(shiftReport(message, time.now), time.now));
                }))
        );
    }
}
