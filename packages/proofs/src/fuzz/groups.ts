/**
 * Fuzzing of replica groups: the observer, groups and group view tasks of several daemons against fake engines, with
 * cuts, silent hosts, lost answers, delayed orders, old roles and edits of the table, on a fake clock.
 */
import { fakeTable } from "@damaskvale/daemon/dist/tasks/tests/fakes.js";
import { TestDataCentre, type TestDataCentreOptions } from "@damaskvale/daemon/dist/tasks/tests/testdatacentre.js";
import fc from "fast-check";
import { GroupsOracle } from "./groupsoracle.js";
import { createFuzzModule, type FuzzModule, type Trace } from "./types.js";

const hosts = ["a1", "a2", "a3", "a4", "b1", "b2", "b3"];
const daemons = ["d1", "d2", "d3"];
const MEMBERS = 2;
const REPLICAS = 3;
const STEP_MILLISECONDS = 50;
/** Takeover of all groups after the last fault, dissolution, and orders whose repeats have backed off. */
const SETTLE_MILLISECONDS = 60_000;

/** One fault or repair. Numbers choose hosts and daemons by index. */
type Action =
    | {
        readonly kind: "silence" | "restore" | "restart" | "oldRole" | "loseAnswer" | "leave" | "return";
        readonly host: number;
    }
    | {
        readonly kind: "cutLog" | "joinLog" | "cutEngines" | "joinEngines" | "loseAppends" | "keepAppends";
        readonly daemon: number;
    }
    | { readonly kind: "delayOrders"; readonly daemon: number; readonly milliseconds: number; }
    | { readonly kind: "split"; readonly daemon: number; }
    | { readonly kind: "heal" | "isolateHolder" | "restartAll"; }
    | { readonly kind: "darken"; readonly domain: "a" | "b"; }
    | { readonly kind: "version"; readonly version: "1" | "2"; };

interface Step {
    readonly action: Action;
    readonly milliseconds: number;
}

interface Scenario {
    readonly ignoring: readonly number[];
    readonly lagMilliseconds: number;
    readonly steps: readonly Step[];
}

const host = fc.nat(hosts.length - 1);
const daemon = fc.nat(daemons.length - 1);
const actions: fc.Arbitrary<Action> = fc.oneof(
    fc.record({
        kind: fc.constantFrom("silence", "restore", "restart", "oldRole", "loseAnswer", "leave", "return"),
        host,
    }) as fc.Arbitrary<Action>,
    fc.record({
        kind: fc.constantFrom("cutLog", "joinLog", "cutEngines", "joinEngines", "loseAppends", "keepAppends"),
        daemon,
    }) as fc.Arbitrary<Action>,
    fc.record({ kind: fc.constant("delayOrders"), daemon, milliseconds: fc.integer({ min: 0, max: 25_000 }) }),
    fc.record({ kind: fc.constant("split"), daemon }),
    fc.record({ kind: fc.constantFrom("heal", "isolateHolder", "restartAll") }) as fc.Arbitrary<Action>,
    fc.record({ kind: fc.constant("darken"), domain: fc.constantFrom("a", "b") }),
    fc.record({ kind: fc.constant("version"), version: fc.constantFrom("1", "2") }),
);
const scenarios: fc.Arbitrary<Scenario> = fc.record({
    ignoring: fc.uniqueArray(host, { maxLength: 3 }),
    lagMilliseconds: fc.constantFrom(0, 20, 300),
    steps: fc.array(
        fc.record({ action: actions, milliseconds: fc.constantFrom(0, 100, 700, 3_000, 8_000, 14_000) }),
        { maxLength: 14 },
    ),
});

/** Fuzz module of the groups. */
export const groupsFuzz: FuzzModule = createFuzzModule("groups", scenarios, play);

async function play(scenario: Scenario, trace: Trace): Promise<void> {
    const model = { members: MEMBERS, replicas: REPLICAS };
    const options: TestDataCentreOptions = {
        hosts,
        daemons,
        model,
        lagMilliseconds: scenario.lagMilliseconds,
        onOrder: (...order) => oracle.checkOrder(...order),
    };
    const scene = new TestDataCentre(options);
    const oracle = new GroupsOracle(scene, trace);
    const run = async (milliseconds: number): Promise<void> => {
        for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
            await scene.run(STEP_MILLISECONDS);
            oracle.check();
        }
    };
    try {
        scenario.ignoring.forEach(index => scene.engine(hosts[index] as string).enforcesFence = false);
        await run(3_000);
        for (const { action, milliseconds } of scenario.steps) {
            trace(`${Math.round(performance.now())} ${JSON.stringify(action)}`);
            apply(scene, action, version => scene.table.publish(fakeTable({ ...model, version })));
            await run(milliseconds);
        }
        trace(`${Math.round(performance.now())} all faults end`);
        repair(scene);
        await run(SETTLE_MILLISECONDS);
        oracle.checkConverged(Math.min(REPLICAS, Math.floor(hosts.length / MEMBERS)));
    }
    finally {
        await scene.stop();
    }
}

function apply(scene: TestDataCentre, action: Action, edit: (version: string) => void): void {
    const engine = "host" in action ? scene.engine(hosts[action.host] as string) : undefined;
    const acting = "daemon" in action ? scene.daemonNamed(daemons[action.daemon] as string) : undefined;
    const setState = (state: "live" | "leaving") =>
        scene.listed = scene.listed.map(listed => listed.host === engine?.host ? { ...listed, state } : listed);
    const handlers: Record<Action["kind"], () => void> = {
        silence: () => engine!.silent = true,
        restore: () => engine!.silent = false,
        restart: () => engine!.restart(),
        oldRole: () => engine!.returnWithOldRole(),
        loseAnswer: () => engine!.loseNextAnswer = true,
        leave: () => setState("leaving"),
        return: () => setState("live"),
        cutLog: () => acting!.stream.cut = true,
        joinLog: () => rejoin(acting!),
        cutEngines: () => scene.engines.forEach(each => each.unreachableFrom.add(acting!.name)),
        joinEngines: () => scene.engines.forEach(each => each.unreachableFrom.delete(acting!.name)),
        loseAppends: () => acting!.stream.loseAnswers = true,
        keepAppends: () => acting!.stream.loseAnswers = false,
        delayOrders: () =>
            scene.engines.forEach(each =>
                each.orderDelays.set(acting!.name, action.kind === "delayOrders" ? action.milliseconds : 0)
            ),
        split: () => split(scene, acting!.name),
        isolateHolder: () => isolateHolder(scene),
        restartAll: () => scene.engines.forEach(each => each.restart()),
        heal: () => scene.daemons.forEach(each => each.setLiveDaemons(...daemons)),
        darken: () =>
            scene.engines.forEach(each => {
                each.silent ||= action.kind === "darken" && each.host.startsWith(action.domain);
            }),
        version: () => action.kind === "version" && edit(action.version),
    };
    handlers[action.kind]();
}

function split(scene: TestDataCentre, alone: string): void {
    const others = daemons.filter(name => name !== alone);
    scene.daemons.forEach(({ name, setLiveDaemons }) => setLiveDaemons(...name === alone ? [alone] : others));
}

/** Cuts the holder of a group off the log and the other daemons; it still reaches the engines. */
function isolateHolder(scene: TestDataCentre): void {
    const holder = Object.values(scene.groups())[0]?.holder ?? daemons[0] as string;
    scene.daemonNamed(holder).stream.cut = true;
    split(scene, holder);
}

function rejoin(daemon: TestDataCentre["daemons"][number]): void {
    daemon.stream.cut = false;
    daemon.stream.read();
}

function repair(scene: TestDataCentre): void {
    scene.engines.forEach(engine => {
        engine.silent = false;
        engine.loseNextAnswer = false;
        engine.unreachableFrom.clear();
        engine.orderDelays.clear();
    });
    scene.listed = scene.listed.map(listed => ({ ...listed, state: "live" }));
    scene.daemons.forEach(daemon => {
        daemon.stream.loseAnswers = false;
        rejoin(daemon);
        daemon.setLiveDaemons(...daemons);
    });
}
