/** Callers of the simulated fleet: their requests, attempts at targets, and returns after a refusal. */
import type { PartExchange } from "./partexchange.js";
import type { Daemon, FleetWorld, Request, TargetProcess } from "./partfleettypes.js";
import { TICK_MILLISECONDS } from "./simulatedtime.js";

const MAXIMUM_ATTEMPTS = 4;
/** Greatest delay of a second attempt; that of the others grows with their number. */
const RETRY_DELAY_MILLISECONDS = 50;
/** Share of refused callers who come back at the time that is stated to them. */
const RETURNING_SHARE = 0.5;
/** Share of requests whose harmful part follows the first one at once. */
const SECOND_PLACE_SHARE = 0.5;

/** The callers. */
export class Callers {
    constructor(
        private readonly world: FleetWorld,
        private readonly exchange: PartExchange,
        private readonly open: (daemon: Daemon, request: Request, target: TargetProcess) => void,
    ) {}

    /** Sends the requests of one tick. */
    arrive(): void {
        const { options: { soundPerSecond, harmful }, time } = this.world;
        this.repeat(soundPerSecond, () => {
            const first = this.chooseFirst();
            this.arriveAt({ parts: [...new Set([first, ...this.chooseOthers()])], attempt: 1 });
        });
        harmful.filter(({ from }) => time.now >= from).forEach(({ part, perSecond }) =>
            this.repeat(perSecond, () => {
                const [second = "", third = ""] = this.chooseOthers();
                const rest = time.random() < SECOND_PLACE_SHARE ? [part, second, third] : [second, part, third];
                this.arriveAt({ parts: [...new Set([this.chooseFirst(), ...rest])], attempt: 1 });
            })
        );
    }

    /** Sends a request that lost its target to another one, after a delay. */
    retry(daemon: Daemon, request: Request): void {
        const { time } = this.world;
        if (request.attempt < MAXIMUM_ATTEMPTS) {
            time.schedule(
                time.now + time.random() * RETRY_DELAY_MILLISECONDS * request.attempt,
                () => this.send(daemon, { ...request, attempt: request.attempt + 1 }),
            );
        }
    }

    /** Chooses one of the first parts, which many requests share. */
    private chooseFirst(): string {
        return `first${this.choose(this.world.options.firstParts)}`;
    }

    private chooseOthers(): readonly string[] {
        return [...Array(2).keys()].map(() => `other${this.choose(this.world.options.otherParts)}`);
    }

    /** Chooses a number below `count`, small ones more often. */
    private choose(count: number): number {
        return Math.floor(count * this.world.time.random() ** 2);
    }

    private repeat(perSecond: number, run: () => void): void {
        const expected = perSecond * TICK_MILLISECONDS / 1_000;
        const count = Math.floor(expected) + (this.world.time.random() < expected % 1 ? 1 : 0);
        [...Array(count).keys()].forEach(() => run());
    }

    private arriveAt(request: Request): void {
        const { daemons, connectivity, time } = this.world;
        const running = daemons.filter(daemon => connectivity.isRunning(daemon));
        const daemon = running[Math.floor(time.random() * running.length)];
        if (daemon !== undefined) {
            this.send(daemon, request);
        }
    }

    private send(daemon: Daemon, request: Request): void {
        const { time, sound } = this.world;
        const { parts, attempt } = request;
        const target = this.chooseTarget();
        if (target === undefined) {
            return;
        }
        const mayTry = (part: string, count: number): boolean => this.exchange.mayTry(daemon, part, count);
        const verdict = daemon.quarantine.check(parts, mayTry, time.now);
        daemon.announced ||= verdict.kind === "trial";
        if (attempt === 1 && this.isSound(request)) {
            sound.push({ first: parts[0] ?? "", at: time.now, isRefused: verdict.kind === "refused" });
        }
        if (verdict.kind === "refused") {
            this.returnLater(request, verdict.retryAfterMilliseconds);
            return;
        }
        this.recordAttempt(daemon, request, target, verdict.kind === "trial");
        this.open(daemon, request, target);
    }

    /** Chooses a target that serves and has room, if there is one. */
    private chooseTarget(): TargetProcess | undefined {
        const { time, targets, options } = this.world;
        const free = targets.filter(({ servesAt, streams }) => servesAt <= time.now && streams.size < options.slots);
        return free[Math.floor(time.random() * free.length)];
    }

    /** Whether no part of a request ever crashes targets. */
    private isSound({ parts }: Request): boolean {
        return !parts.some(part => this.world.options.harmful.some(harm => harm.part === part));
    }

    private recordAttempt(daemon: Daemon, { parts, attempt }: Request, target: TargetProcess, isTrial: boolean): void {
        const { time, connectivity, attempts, trace } = this.world;
        parts.filter(part => this.world.isHarmful(part)).forEach(part => {
            trace(`d${daemon.index} sends ${part} to ${target.name}${isTrial ? " as a trial" : ""}, try ${attempt}`);
            attempts.push({ part, at: time.now, isTrial, inTouch: connectivity.isInTouch(daemon) });
        });
    }

    private returnLater(request: Request, retryAfter: number): void {
        const { time } = this.world;
        if (time.random() < RETURNING_SHARE) {
            time.schedule(time.now + retryAfter, () => this.arriveAt({ ...request, attempt: 1 }));
        }
    }
}
