/** Simulated time of a scenario, which drives all timers of the code under test. */
import FakeTimers from "@sinonjs/fake-timers";

/** Simulated time in milliseconds. */
export interface SimulatedTime {
    now(): number;
    /** Advances the time in small steps, so that promises settle between timers. */
    advance(milliseconds: number): Promise<void>;
}

const STEP_MILLISECONDS = 10;
const LONG_STEP_MILLISECONDS = 50;
/** Waits longer than this use longer steps, to keep scenarios fast. */
const LONG_WAIT_MILLISECONDS = 5_000;

/** Runs a scenario with fake timers and restores the real timers afterwards, also after an error. */
export async function withFakeTime<Result>(play: (time: SimulatedTime) => Promise<Result>): Promise<Result> {
    const settle = setImmediate;
    const clock = FakeTimers.install({ now: 1_000_000, toFake: ["setTimeout", "clearTimeout", "Date", "performance"] });
    const flush = () => new Promise<void>(resolve => settle(resolve));
    try {
        return await play({
            now: () => clock.now,
            advance: async milliseconds => {
                const step = milliseconds > LONG_WAIT_MILLISECONDS ? LONG_STEP_MILLISECONDS : STEP_MILLISECONDS;
                const until = clock.now + milliseconds;
                await flush();
                while (clock.now < until) {
                    clock.tick(Math.min(step, until - clock.now));
                    await flush();
                }
            },
        });
    }
    finally {
        clock.uninstall();
    }
}
