/** Exchange of what the simulated daemons know about parts, with delays and losses. */
import { type PartStatement, trialRank } from "@damaskvale/core";
import { type Daemon, type FleetWorld, shiftReport } from "./partfleettypes.js";
import { TICK_MILLISECONDS } from "./simulatedtime.js";

const EXCHANGE_MILLISECONDS = 150;
const MAXIMUM_DELAY_MILLISECONDS = 60;
/** A daemon counts as reachable this long after its last message. */
const HEARD_MILLISECONDS = 2_000;

/** Exchange between the daemons. */
export class PartExchange {
    constructor(private readonly world: FleetWorld) {}

    /** Notes decisions of a daemon, which it reports at its next turn. */
    record(daemon: Daemon, changes: readonly PartStatement[]): void {
        const { time, statements, trace } = this.world;
        changes.forEach(statement => {
            const { part, state, cause, crashes } = statement;
            trace(`d${daemon.index}: ${part} is ${state} by ${cause}, ${crashes} crashes`);
            statements.push({ at: time.now, daemon: daemon.index, statement });
        });
        daemon.announced ||= changes.length > 0;
    }

    /** Lets a daemon report to the others, if there is an update or if it is its turn. */
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

    /** Whether a daemon is among the first `count` that may try a part again. */
    mayTry({ index, heardAt }: Daemon, part: string, count: number): boolean {
        const { time, daemons } = this.world;
        const reachable = daemons.filter(other =>
            other.index !== index
            && time.now - (heardAt.get(other.index) ?? Number.NEGATIVE_INFINITY) < HEARD_MILLISECONDS
        ).map(other => `d${other.index}`);
        return trialRank(part, { self: `d${index}`, reachable, known: daemons.length }) < count;
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
