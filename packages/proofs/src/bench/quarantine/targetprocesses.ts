/** Processes of the simulated targets: how their streams begin and end, and what daemons see of crashes and resets. */
import type { PartExchange } from "./partexchange.js";
import type { Daemon, FleetWorld, Request, Stream, TargetProcess } from "./partfleettypes.js";

const PROVEN_AFTER_MILLISECONDS = 500;
/** Times until the first event, and from it to the end of an answer. */
const FIRST_EVENT_MILLISECONDS = { least: 120, most: 1_400 };
const ANSWER_MILLISECONDS = { least: 800, most: 8_000 };
/** Time until a crashed process serves again. */
const RESTART_MILLISECONDS = { least: 2_500, most: 6_000 };
/** Time until a daemon finds out that a process lives whose connections were reset. */
const RESET_MILLISECONDS = { least: 200, most: 900 };
/** Unix time at which the simulation begins, since processes are known by their start. */
const BEGIN_UNIX_MILLISECONDS = 1_000;

/** Creates targets that serve. */
export function createTargets(count: number): readonly TargetProcess[] {
    return [...Array(count).keys()].map(index => ({
        name: `t${index}`,
        startedAt: BEGIN_UNIX_MILLISECONDS,
        servesAt: 0,
        streams: new Set(),
    }));
}

/** The processes, with the streams that they serve. */
export class TargetProcesses {
    constructor(
        private readonly world: FleetWorld,
        private readonly exchange: PartExchange,
        private readonly retry: (daemon: Daemon, request: Request) => void,
    ) {}

    /** Starts a stream, whose first event comes later. */
    open(daemon: Daemon, request: Request, target: TargetProcess): void {
        const { time } = this.world;
        const stream: Stream = { request, daemon, target, ended: false };
        target.streams.add(stream);
        time.schedule(time.now + time.between(FIRST_EVENT_MILLISECONDS), () => this.begin(stream));
    }

    /** Ends the streams of a daemon at all targets. */
    endStreamsOf(daemon: Daemon): void {
        this.world.targets.forEach(({ streams }) =>
            [...streams].filter(stream => stream.daemon === daemon).forEach(stream => this.end(stream))
        );
    }

    /** Ends a process, which starts again after a time. */
    crash(target: TargetProcess): void {
        const { time, daemons, connectivity, trace } = this.world;
        if (target.servesAt > time.now) {
            return;
        }
        const streams = [...target.streams];
        const startedAt = target.startedAt;
        trace(`${target.name} ends with ${streams.length} requests`);
        streams.forEach(stream => this.end(stream));
        target.startedAt = BEGIN_UNIX_MILLISECONDS + time.now;
        target.servesAt = time.now + time.between(RESTART_MILLISECONDS);
        daemons.forEach(daemon => {
            const own = streams.filter(stream => stream.daemon === daemon);
            if (own.length > 0) {
                connectivity.runIn(daemon, () => this.loseStreams(daemon, target.name, startedAt, own));
            }
        });
    }

    /** Resets the connections of a daemon to targets whose processes live. */
    reset(daemon: Daemon, targets: readonly TargetProcess[]): void {
        const { time, connectivity } = this.world;
        if (!connectivity.isRunning(daemon)) {
            return;
        }
        targets.forEach(target => {
            const own = [...target.streams].filter(stream => stream.daemon === daemon);
            if (own.length > 0) {
                const { startedAt } = target;
                own.forEach(stream => this.end(stream));
                this.loseStreams(daemon, target.name, startedAt, own);
                time.schedule(
                    time.now + time.between(RESET_MILLISECONDS),
                    () => this.withdrawIfAlive(daemon, target, startedAt),
                );
            }
        });
    }

    private begin(stream: Stream): void {
        if (stream.ended) {
            return;
        }
        const { time, crashes, connectivity } = this.world;
        const harmful = stream.request.parts.filter(part => this.world.isHarmful(part));
        if (harmful.length > 0) {
            const inTouch = connectivity.isInTouch(stream.daemon);
            harmful.forEach(part => crashes.push({ part, at: time.now, inTouch }));
            this.crash(stream.target);
            return;
        }
        const firstEventAt = time.now;
        stream.firstEventAt = firstEventAt;
        const remaining = time.between(ANSWER_MILLISECONDS);
        time.schedule(firstEventAt + PROVEN_AFTER_MILLISECONDS, () => this.prove(stream, firstEventAt));
        time.schedule(firstEventAt + remaining, () => this.end(stream));
    }

    /** Records the proof of a stream that still goes on, unless its daemon starts again before it can. */
    private prove({ ended, daemon, request: { parts } }: Stream, firstEventAt: number): void {
        const { quarantine } = daemon;
        const { time, connectivity } = this.world;
        if (!ended) {
            connectivity.runIn(daemon, () => {
                if (quarantine === daemon.quarantine) {
                    this.exchange.record(daemon, quarantine.recordProven(parts, time.now, firstEventAt));
                }
            });
        }
    }

    private end(stream: Stream): void {
        stream.ended = true;
        stream.target.streams.delete(stream);
    }

    private loseStreams(daemon: Daemon, target: string, startedAt: number, streams: readonly Stream[]): void {
        const { now } = this.world.time;
        const unproven = streams.filter(({ firstEventAt }) =>
            firstEventAt === undefined || now - firstEventAt < PROVEN_AFTER_MILLISECONDS
        );
        const parts = [...new Set(unproven.flatMap(({ request }) => request.parts))];
        this.exchange.record(daemon, daemon.quarantine.recordCrash({ target, startedAt, parts }, now));
        daemon.announced = true;
        streams.forEach(({ request }) => this.retry(daemon, request));
    }

    private withdrawIfAlive(daemon: Daemon, target: TargetProcess, startedAt: number): void {
        if (target.startedAt === startedAt) {
            this.world.connectivity.runIn(daemon, () =>
                this.exchange.record(
                    daemon,
                    daemon.quarantine.withdrawCrash(target.name, startedAt, this.world.time.now),
                ));
        }
    }
}
