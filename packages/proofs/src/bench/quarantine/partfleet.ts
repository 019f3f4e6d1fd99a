/**
 * Simulation of daemons whose callers send prompts with shared parts, some of which crash the process that answers. Time
 * is simulated; what a daemon blames and refuses is decided by a quarantine, so that ways to decide can be compared.
 */
import { type PartStatement, rendezvous } from "@damaskvale/core";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import {
    type Daemon,
    type Disturbance,
    type FalseBlame,
    type HarmfulAttempt,
    type HarmfulCrash,
    type PartFleetOptions,
    type Request,
    shiftReport,
    type Stream,
    type TargetProcess,
} from "./partfleettypes.js";

const TICK_MILLISECONDS = 10;
const EXCHANGE_MILLISECONDS = 150;
const MAXIMUM_DELAY_MILLISECONDS = 60;
const HEARD_MILLISECONDS = 2_000;
const STABLE_MILLISECONDS = 3_000;
const PROVEN_AFTER_MILLISECONDS = 500;
const MAXIMUM_ATTEMPTS = 4;
/** Times until the first event, and from it to the end of an answer. */
const FIRST_EVENT_MILLISECONDS = { least: 120, most: 1_400 };
const ANSWER_MILLISECONDS = { least: 800, most: 8_000 };
/** Time until a crashed process serves again. */
const RESTART_MILLISECONDS = { least: 2_500, most: 6_000 };
/** Time until a daemon finds out that a process lives whose connections were reset. */
const RESET_MILLISECONDS = { least: 200, most: 900 };
/** Share of refused callers who come back at the time that they are told. */
const RETURNING_SHARE = 0.5;

/** Simulated fleet. */
export class PartFleet {
    now = 0;
    readonly attempts: HarmfulAttempt[] = [];
    readonly crashes: HarmfulCrash[] = [];
    readonly falseBlames: FalseBlame[] = [];
    readonly statements: { readonly at: number; readonly daemon: number; readonly statement: PartStatement; }[] = [];
    /** First attempts of requests that crash nothing. */
    readonly sound: { readonly first: string; readonly at: number; readonly isRefused: boolean; }[] = [];
    readonly daemons: Daemon[];
    private readonly targets: TargetProcess[];
    private readonly due = new Map<number, (() => void)[]>();
    private readonly random: () => number;

    constructor(private readonly options: PartFleetOptions) {
        this.random = () => uniformFloat64(options.random);
        this.daemons = [...Array(options.daemons).keys()].map(index => ({
            index,
            quarantine: options.createQuarantine(),
            disturbedAt: Number.NEGATIVE_INFINITY,
            pausedUntil: 0,
            heardAt: new Map(),
            announced: false,
            blames: new Map(),
        }));
        this.targets = [...Array(options.targets).keys()].map(index => ({
            name: `t${index}`,
            startedAt: 1_000,
            servesAt: 0,
            streams: new Set(),
        }));
        options.disturbances.forEach(disturbance => this.prepare(disturbance));
    }

    /** Runs until `end`. */
    run(end = this.options.milliseconds): void {
        for (; this.now < end; this.now += TICK_MILLISECONDS) {
            const tick = Math.round(this.now / TICK_MILLISECONDS);
            this.due.get(tick)?.forEach(run => run());
            this.due.delete(tick);
            this.arrive();
            this.daemons.filter(daemon => this.isRunning(daemon)).forEach(daemon => this.turn(daemon));
            if (tick % 10 === 0) {
                this.recordFalseBlames();
            }
        }
    }

    /** Ends the false quarantines that still hold, so that they are counted. */
    finish(): void {
        this.daemons.forEach(daemon => [...daemon.blames.keys()].forEach(part => this.endBlame(daemon, part)));
    }

    private isHarmful(part: string): boolean {
        return this.options.harmful.some(harm => harm.part === part && this.now >= harm.from && this.now < harm.until);
    }

    private schedule(at: number, run: () => void): void {
        const tick = Math.max(Math.floor(this.now / TICK_MILLISECONDS) + 1, Math.ceil(at / TICK_MILLISECONDS));
        this.due.set(tick, [...this.due.get(tick) ?? [], run]);
    }

    private between({ least, most }: { readonly least: number; readonly most: number; }): number {
        return least * (most / least) ** this.random();
    }

    private prepare(disturbance: Disturbance): void {
        const prepareByKind: { readonly [Kind in Disturbance["kind"]]: (found: never) => void; } = {
            kill: ({ at, targets, spread }: Disturbance & { kind: "kill"; }) =>
                targets.flatMap(index => this.targets[index] ?? []).forEach(target =>
                    this.schedule(at + this.random() * spread, () => this.crash(target))
                ),
            reset: ({ at, daemon, targets }: Disturbance & { kind: "reset"; }) =>
                this.schedule(at, () => this.reset(daemon, targets)),
            cut: ({ until }: Disturbance & { kind: "cut"; }) => this.schedule(until, () => undefined),
            pause: ({ from, until, daemons }: Disturbance & { kind: "pause"; }) =>
                this.schedule(from, () =>
                    daemons.flatMap(index => this.daemons[index] ?? []).forEach(daemon => {
                        daemon.pausedUntil = until;
                        daemon.disturbedAt = until;
                    })),
            restart: ({ at, daemon }: Disturbance & { kind: "restart"; }) =>
                this.schedule(at, () => this.restart(daemon)),
        };
        prepareByKind[disturbance.kind](disturbance as never);
    }

    private isRunning({ pausedUntil }: Daemon): boolean {
        return pausedUntil <= this.now;
    }

    /** Runs something in a daemon, after its pause if it is paused. */
    private runIn(daemon: Daemon, run: () => void): void {
        if (this.isRunning(daemon)) {
            run();
        }
        else {
            this.schedule(daemon.pausedUntil, run);
        }
    }

    private isCut({ index }: Daemon): boolean {
        return this.options.disturbances.some(disturbance =>
            disturbance.kind === "cut" && disturbance.daemons.includes(index)
            && this.now >= disturbance.from && this.now < disturbance.until
        );
    }

    private isInTouch(daemon: Daemon): boolean {
        return this.isRunning(daemon) && this.now - daemon.disturbedAt >= STABLE_MILLISECONDS;
    }

    private restart(index: number): void {
        const daemon = this.daemons[index];
        if (daemon !== undefined && this.isRunning(daemon)) {
            this.targets.forEach(target =>
                [...target.streams].filter(stream => stream.daemon === daemon).forEach(stream => this.end(stream))
            );
            [...daemon.blames.keys()].forEach(part => this.endBlame(daemon, part));
            daemon.quarantine = this.options.createQuarantine();
            daemon.heardAt.clear();
            daemon.disturbedAt = this.now;
        }
    }

    private arrive(): void {
        const { soundPerSecond, harmful, firstParts, otherParts } = this.options;
        const choose = (count: number): number => Math.floor(count * this.random() ** 2);
        const others = (): string[] => [...Array(2).keys()].map(() => `other${choose(otherParts)}`);
        this.repeat(soundPerSecond, () => {
            const parts = [`first${choose(firstParts)}`, ...others()];
            this.arriveAt({ parts: [...new Set(parts)], attempt: 1 });
        });
        harmful.filter(({ from }) => this.now >= from).forEach(({ part, perSecond }) =>
            this.repeat(perSecond, () => {
                const [second = "", third = ""] = others();
                const rest = this.random() < 0.5 ? [part, second, third] : [second, part, third];
                this.arriveAt({ parts: [...new Set([`first${choose(firstParts)}`, ...rest])], attempt: 1 });
            })
        );
    }

    private repeat(perSecond: number, run: () => void): void {
        const expected = perSecond * TICK_MILLISECONDS / 1_000;
        const count = Math.floor(expected) + (this.random() < expected % 1 ? 1 : 0);
        [...Array(count).keys()].forEach(() => run());
    }

    private arriveAt(request: Request): void {
        const running = this.daemons.filter(daemon => this.isRunning(daemon));
        const daemon = running[Math.floor(this.random() * running.length)];
        if (daemon === undefined) {
            return;
        }
        this.send(daemon, request);
    }

    private send(daemon: Daemon, request: Request): void {
        const { parts, attempt } = request;
        const free = this.targets.filter(({ servesAt, streams }) =>
            servesAt <= this.now && streams.size < this.options.slots
        );
        const target = free[Math.floor(this.random() * free.length)];
        if (target === undefined) {
            return;
        }
        const verdict = daemon.quarantine.check(parts, part => this.mayTry(daemon, part), this.now);
        if (attempt === 1 && !parts.some(part => this.options.harmful.some(harm => harm.part === part))) {
            this.sound.push({ first: parts[0] ?? "", at: this.now, isRefused: verdict.kind === "refused" });
        }
        if (verdict.kind === "refused") {
            this.refuse(request, verdict.retryAfterMilliseconds);
            return;
        }
        parts.filter(part => this.isHarmful(part)).forEach(part => {
            const isTrial = verdict.kind === "trial";
            this.trace(
                `d${daemon.index} sends ${part} to ${target.name}${isTrial ? " as a trial" : ""}, try ${attempt}`,
            );
            this.attempts.push({ part, at: this.now, isTrial, inTouch: this.isInTouch(daemon) && !this.isCut(daemon) });
        });
        const stream: Stream = { request, daemon, target, ended: false };
        target.streams.add(stream);
        this.schedule(this.now + this.between(FIRST_EVENT_MILLISECONDS), () => this.begin(stream));
    }

    private refuse(request: Request, retryAfter: number): void {
        if (this.random() < RETURNING_SHARE) {
            this.schedule(this.now + retryAfter, () => this.arriveAt({ ...request, attempt: 1 }));
        }
    }

    private mayTry(daemon: Daemon, part: string): boolean {
        const heard = this.daemons.filter(other =>
            other === daemon || this.now - (daemon.heardAt.get(other.index) ?? Number.NEGATIVE_INFINITY)
                < HEARD_MILLISECONDS
        );
        const names = heard.map(({ index }) => `d${index}`);
        return heard.length * 2 > this.daemons.length && rendezvous(part, names, 1)[0] === `d${daemon.index}`;
    }

    private begin(stream: Stream): void {
        if (stream.ended) {
            return;
        }
        const harmful = stream.request.parts.filter(part => this.isHarmful(part));
        if (harmful.length > 0) {
            const inTouch = this.isInTouch(stream.daemon) && !this.isCut(stream.daemon);
            harmful.forEach(part => this.crashes.push({ part, at: this.now, inTouch }));
            this.crash(stream.target);
            return;
        }
        const firstEventAt = this.now;
        stream.firstEventAt = firstEventAt;
        const remaining = this.between(ANSWER_MILLISECONDS);
        const { daemon, request: { parts } } = stream;
        this.schedule(firstEventAt + PROVEN_AFTER_MILLISECONDS, () => {
            if (!stream.ended) {
                const { quarantine } = daemon;
                this.runIn(daemon, () => {
                    if (quarantine === daemon.quarantine) {
                        this.record(daemon, quarantine.recordProven(parts, this.now, firstEventAt));
                    }
                });
            }
        });
        this.schedule(firstEventAt + remaining, () => this.end(stream));
    }

    private end(stream: Stream): void {
        stream.ended = true;
        stream.target.streams.delete(stream);
    }

    private crash(target: TargetProcess): void {
        if (target.servesAt > this.now) {
            return;
        }
        const streams = [...target.streams];
        const startedAt = target.startedAt;
        this.trace(`${target.name} ends with ${streams.length} requests`);
        streams.forEach(stream => this.end(stream));
        target.startedAt = 1_000 + this.now;
        target.servesAt = this.now + this.between(RESTART_MILLISECONDS);
        this.daemons.forEach(daemon => {
            const own = streams.filter(stream => stream.daemon === daemon);
            if (own.length > 0) {
                this.runIn(daemon, () => {
                    this.observeEnd(daemon, target.name, startedAt, own);
                    own.forEach(({ request }) => this.retry(daemon, request));
                });
            }
        });
    }

    private reset(index: number, targets: readonly number[]): void {
        const daemon = this.daemons[index];
        if (daemon === undefined || !this.isRunning(daemon)) {
            return;
        }
        targets.flatMap(target => this.targets[target] ?? []).forEach(target => {
            const own = [...target.streams].filter(stream => stream.daemon === daemon);
            if (own.length > 0) {
                const { startedAt } = target;
                own.forEach(stream => this.end(stream));
                this.observeEnd(daemon, target.name, startedAt, own);
                own.forEach(({ request }) => this.retry(daemon, request));
                this.schedule(this.now + this.between(RESET_MILLISECONDS), () => {
                    if (target.startedAt === startedAt) {
                        const withdraw = (): void =>
                            this.record(daemon, daemon.quarantine.withdrawCrash(target.name, startedAt, this.now));
                        this.runIn(daemon, withdraw);
                    }
                });
            }
        });
    }

    private observeEnd(daemon: Daemon, target: string, startedAt: number, streams: readonly Stream[]): void {
        const unproven = streams.filter(({ firstEventAt }) =>
            firstEventAt === undefined || this.now - firstEventAt < PROVEN_AFTER_MILLISECONDS
        );
        const parts = [...new Set(unproven.flatMap(({ request }) => request.parts))];
        this.record(daemon, daemon.quarantine.recordCrash({ target, startedAt, parts }, this.now));
        daemon.announced = true;
    }

    private retry(daemon: Daemon, request: Request): void {
        if (request.attempt < MAXIMUM_ATTEMPTS) {
            this.schedule(
                this.now + this.random() * 50 * request.attempt,
                () => this.send(daemon, { ...request, attempt: request.attempt + 1 }),
            );
        }
    }

    private record(daemon: Daemon, changes: readonly PartStatement[]): void {
        changes.forEach(statement => {
            this.trace(
                `d${daemon.index}: ${statement.part} is ${statement.state} by ${statement.cause}, `
                    + `${statement.crashes} crashes`,
            );
            this.statements.push({ at: this.now, daemon: daemon.index, statement });
        });
        daemon.announced ||= changes.length > 0;
    }

    private turn(daemon: Daemon): void {
        if (this.isCut(daemon)) {
            daemon.disturbedAt = this.now;
        }
        if (daemon.announced || (this.now + daemon.index * TICK_MILLISECONDS) % EXCHANGE_MILLISECONDS === 0) {
            daemon.announced = false;
            this.announce(daemon);
        }
    }

    private announce(from: Daemon): void {
        const message = shiftReport(from.quarantine.report(this.now), -this.now);
        if (this.isCut(from)) {
            return;
        }
        this.daemons.filter(to => to !== from && !this.isCut(to) && this.random() >= this.options.loss).forEach(to =>
            this.schedule(this.now + this.random() * MAXIMUM_DELAY_MILLISECONDS, () =>
                this.runIn(to, () => {
                    to.heardAt.set(from.index, this.now);
                    const told = shiftReport(message, this.now);
                    this.record(to, to.quarantine.merge(told, this.now).map(statement => statement));
                }))
        );
    }

    private recordFalseBlames(): void {
        this.daemons.forEach(daemon => {
            const parts = daemon.quarantine.quarantined().map(({ part }) => part);
            const isSound = (part: string): boolean => !this.options.harmful.some(harm => harm.part === part);
            parts.filter(part => isSound(part) && !daemon.blames.has(part))
                .forEach(part => daemon.blames.set(part, this.now));
            [...daemon.blames.keys()].filter(part => !parts.includes(part)).forEach(part =>
                this.endBlame(daemon, part)
            );
        });
    }

    private endBlame(daemon: Daemon, part: string): void {
        const from = daemon.blames.get(part) ?? this.now;
        daemon.blames.delete(part);
        this.falseBlames.push({ part, daemon: daemon.index, from, milliseconds: this.now - from });
    }

    private trace(line: string): void {
        this.options.trace?.(`${this.now}: ${line}`);
    }
}
