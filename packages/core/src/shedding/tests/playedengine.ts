/** Groups of a played engine: slots, prefill one after another, decoding together, and a queue for requests without a slot. */
import { decodeStepMilliseconds, prefillMilliseconds } from "../../placement/place.js";
import { engine as largeEngine, model } from "../../placement/tests/largefleet.js";
import type { EngineProfile, ModelProfile } from "../../routes/types.js";

export { model };

/** Engine with the slots of the deployment. */
export const engine: EngineProfile = { ...largeEngine, slots: 14 };

/** One request at a group. Times are milliseconds. */
export interface PlayedStream {
    readonly daemon: number;
    readonly priority: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly onFirstEvent: (now: number) => void;
    tokensLeft: number;
    firstEventAt: number;
    hasStarted: boolean;
}

/** Order in which a group gives its slots to requests that wait there. */
export type EngineOrder = "arrival" | "priority";

/** A group. */
export class PlayedGroup {
    running: PlayedStream[] = [];
    waiting: PlayedStream[] = [];
    isLost = false;
    private prefillEndsAt = 0;

    constructor(private readonly order: EngineOrder, private readonly profile: ModelProfile = model) {}

    /** Requests that were sent here and have not ended. */
    inProgress(): number {
        return this.running.length + this.waiting.length;
    }

    add(stream: PlayedStream, now: number): void {
        this.waiting.push(stream);
        if (this.order === "priority") {
            this.waiting.sort((left, right) => left.priority - right.priority);
        }
        this.fill(now);
    }

    /** Plays a step of time. Returns the streams that ended in it. */
    advance(now: number, milliseconds: number): PlayedStream[] {
        const tokens = milliseconds / decodeStepMilliseconds(engine, this.profile, this.running.length);
        const ended: PlayedStream[] = [];
        this.running.forEach(stream => {
            if (now >= stream.firstEventAt) {
                if (!stream.hasStarted) {
                    stream.hasStarted = true;
                    stream.onFirstEvent(now);
                }
                stream.tokensLeft -= tokens;
                if (stream.tokensLeft <= 0) {
                    ended.push(stream);
                }
            }
        });
        if (ended.length > 0) {
            this.running = this.running.filter(stream => stream.tokensLeft > 0);
            this.fill(now);
        }
        return ended;
    }

    private fill(now: number): void {
        while (this.running.length < engine.slots && this.waiting.length > 0) {
            const stream = this.waiting.shift() as PlayedStream;
            this.prefillEndsAt = Math.max(now, this.prefillEndsAt)
                + prefillMilliseconds(engine, this.profile, stream.promptTokens);
            const pass = decodeStepMilliseconds(engine, this.profile, this.running.length + 1) * engine.stepsPerPass;
            stream.firstEventAt = this.prefillEndsAt + 1.5 * pass;
            this.running.push(stream);
        }
    }
}
