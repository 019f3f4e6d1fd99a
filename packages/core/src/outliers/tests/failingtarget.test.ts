/**
 * Plays the load of a service of three plain targets of which one fails a part of its requests for a while: many daemons, few
 * requests of each, shared observations that lag. Guards against a choice that goes on sending callers to a failing target,
 * that overloads the others in its place, or that keeps it out of use after it has recovered.
 */
import { expect } from "chai";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { choosePlainTarget } from "../../placement/plaintarget.js";
import { createFailureObservations, fadeFailureSum, failureShareOf, mergeFailureSums } from "../failuresums.js";

const STEP_MILLISECONDS = 1;
const SECONDS = 22;
const DAEMONS = 81;
const SLOTS = 6;
const QUEUE = 24;
const WORK_MILLISECONDS = 21;
const OBJECTIVE_MILLISECONDS = 143;
const FAILING_FROM_MILLISECONDS = 8_000;
const FAILING_UNTIL_MILLISECONDS = 14_500;
const FAILURE_SHARE = 0.45;
const EXCHANGE_MILLISECONDS = 250;
const RECOVERY_WINDOW_MILLISECONDS = 500;
/** Share of requests with which a target counts as recovered; its even share is a third. */
const RECOVERED_SHARE = 0.25;

interface Scenario {
    readonly name: string;
    readonly requestsPerSecond: number;
    /** Targets that fail; target 0 alone if absent. */
    readonly failing?: number;
    readonly targets?: number;
}

interface Request {
    readonly daemon: number;
    readonly target: number;
    readonly sentAt: number;
    work: number;
}

interface Result {
    /** Shares of the requests sent while targets failed. */
    readonly failed: number;
    readonly late: number;
    readonly refused: number;
    /** Share of these requests that target 0 got. */
    readonly failingTarget: number;
    /** Time from the end of the failures until target 0 has its share back. */
    readonly recoveryMilliseconds: number;
}

function simulate(scenario: Scenario, usesFailures: boolean, seed: number): Result {
    const { requestsPerSecond, failing = 1, targets = 3 } = scenario;
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const observations = Array.from({ length: DAEMONS }, createFailureObservations);
    const fails = (target: number, now: number): boolean =>
        target < failing && now >= FAILING_FROM_MILLISECONDS && now < FAILING_UNTIL_MILLISECONDS;
    const isCounted = (at: number): boolean => at >= FAILING_FROM_MILLISECONDS && at < FAILING_UNTIL_MILLISECONDS;
    const counted = { all: 0, failed: 0, late: 0, refused: 0, first: 0 };
    const sentAfter: { readonly at: number; readonly target: number; }[] = [];
    let stated = { sums: mergeFailureSums([]), at: 0 };
    /** Requests in progress as the statement of collectors tells them: of the exchange before. */
    let statedLoads: readonly number[] = [];
    let nextLoads: readonly number[] = [];
    let requests: Request[] = [];
    const targetIds = Array.from({ length: targets }, (...[, target]) => target);
    const loadsNow = (): number[] => targetIds.map(id => requests.filter(({ target }) => target === id).length);

    const finish = ({ daemon, target, sentAt }: Request, now: number): void => {
        const failed = fails(target, now) && random() < FAILURE_SHARE;
        observations[daemon]?.record({ target: String(target), startedAt: 1 }, failed, now);
        counted.failed += isCounted(sentAt) && failed ? 1 : 0;
        counted.late += isCounted(sentAt) && !failed && now - sentAt > OBJECTIVE_MILLISECONDS ? 1 : 0;
    };
    const advance = (now: number): void => {
        const served = targetIds.map(() => 0);
        requests.forEach(request => {
            served[request.target] = (served[request.target] ?? 0) + 1;
            if ((served[request.target] ?? 0) <= SLOTS) {
                request.work -= STEP_MILLISECONDS;
            }
        });
        requests.filter(({ work }) => work <= 0).forEach(request => finish(request, now));
        requests = requests.filter(({ work }) => work > 0);
    };
    const exchange = (now: number): void => {
        stated = { sums: mergeFailureSums(observations.map(observed => observed.sums(now))), at: now };
        statedLoads = nextLoads;
        nextLoads = loadsNow();
    };
    const send = (now: number): void => {
        const daemon = Math.floor(random() * DAEMONS);
        const own = (id: number): number =>
            requests.filter(request => request.daemon === daemon && request.target === id).length;
        const shareOf = (id: number): number => {
            const sum = stated.sums.find(({ target }) => target === String(id));
            return sum === undefined ? 0 : failureShareOf(fadeFailureSum(sum, now - stated.at));
        };
        const candidates = targetIds.map(id => ({
            id: String(id),
            dataCentre: "a",
            inProgress: own(id),
            waitMilliseconds: 0,
            slowness: 1,
            ...usesFailures
                ? { failureShare: shareOf(id), totalInProgress: statedLoads[id] ?? 0, slots: SLOTS }
                : {},
        }));
        const target = Number(choosePlainTarget(candidates, "a", random));
        counted.all += isCounted(now) ? 1 : 0;
        counted.first += isCounted(now) && target === 0 ? 1 : 0;
        if (now >= FAILING_UNTIL_MILLISECONDS) {
            sentAfter.push({ at: now - FAILING_UNTIL_MILLISECONDS, target });
        }
        if ((loadsNow()[target] ?? 0) >= SLOTS + QUEUE) {
            counted.refused += isCounted(now) ? 1 : 0;
            return;
        }
        requests.push({ daemon, target, sentAt: now, work: WORK_MILLISECONDS });
    };

    for (let now = 0; now < SECONDS * 1_000; now += STEP_MILLISECONDS) {
        advance(now);
        if (now % EXCHANGE_MILLISECONDS === 0) {
            exchange(now);
        }
        const due = Math.floor((now + STEP_MILLISECONDS) * requestsPerSecond / 1_000)
            - Math.floor(now * requestsPerSecond / 1_000);
        Array.from({ length: due }).forEach(() => send(now));
    }
    return {
        failed: counted.failed / counted.all,
        late: counted.late / counted.all,
        refused: counted.refused / counted.all,
        failingTarget: counted.first / counted.all,
        recoveryMilliseconds: recoveryTime(sentAfter),
    };
}

/** Returns the start of the first window in which target 0 gets its share. */
function recoveryTime(sent: readonly { readonly at: number; readonly target: number; }[]): number {
    const windows = Array.from({ length: 15 }, (...[, index]) => index * RECOVERY_WINDOW_MILLISECONDS);
    return windows.find(from => {
        const inWindow = sent.filter(({ at }) => at >= from && at < from + RECOVERY_WINDOW_MILLISECONDS);
        return inWindow.filter(({ target }) => target === 0).length >= RECOVERED_SHARE * inWindow.length;
    }) ?? Number.POSITIVE_INFINITY;
}

/** Returns the means over several seeds. */
function simulateAll(scenario: Scenario, usesFailures: boolean): Result {
    const results = [1, 2, 3].map(seed => simulate(scenario, usesFailures, seed));
    const mean = (read: (result: Result) => number): number =>
        results.reduce((sum, result) => sum + read(result), 0) / results.length;
    return {
        failed: mean(({ failed }) => failed),
        late: mean(({ late }) => late),
        refused: mean(({ refused }) => refused),
        failingTarget: mean(({ failingTarget }) => failingTarget),
        recoveryMilliseconds: mean(({ recoveryMilliseconds }) => recoveryMilliseconds),
    };
}

describe("choice of plain targets while one fails a part of its requests", () => {
    const compare = (scenario: Scenario): { known: Result; unknown: Result; } => ({
        known: simulateAll(scenario, true),
        unknown: simulateAll(scenario, false),
    });

    it("fails few callers and uses the target again after it has recovered", () => {
        const { known, unknown } = compare({ name: "38 a second", requestsPerSecond: 38 });
        const figures = JSON.stringify({ known, unknown });
        expect(unknown.failed, figures).to.be.above(0.13);
        expect(known.failed, figures).to.be.below(0.4 * unknown.failed);
        expect(known.failingTarget, figures).to.be.above(0.005);
        expect(known.late + known.refused, figures).to.equal(0);
        expect(known.recoveryMilliseconds, figures).to.be.at.most(4_000);
    });

    const loads: readonly Scenario[] = [
        { name: "480 a second, which two targets can take", requestsPerSecond: 480 },
        { name: "570 a second, all that two targets can take", requestsPerSecond: 570 },
        { name: "700 a second, more than two targets can take", requestsPerSecond: 700 },
    ];
    loads.forEach(scenario =>
        it(`does not overload the others: ${scenario.name}`, () => {
            const { known, unknown } = compare(scenario);
            const figures = JSON.stringify({ known, unknown });
            expect(known.failed, figures).to.be.below(unknown.failed);
            expect(known.late + known.refused, figures).to.be.at.most(unknown.late + unknown.refused + 0.005);
        })
    );

    it("uses all targets alike while all fail alike", () => {
        const { known } = compare({ name: "all fail", requestsPerSecond: 38, failing: 3 });
        expect(known.failingTarget).to.be.within(0.27, 0.4);
    });

    it("sends all requests to the only target", () => {
        const { known } = compare({ name: "one target", requestsPerSecond: 12, targets: 1 });
        expect(known.failingTarget).to.equal(1);
        expect(known.refused).to.equal(0);
    });
});
