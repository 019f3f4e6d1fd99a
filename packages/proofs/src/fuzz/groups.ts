/**
 * Fuzz module of replica groups: runs the observer, groups and group view tasks of several daemons against fake
 * engines on a fake clock, with network partitions, silent hosts, lost answers, delayed orders, stale roles and table
 * edits.
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
/** Long enough to take over all groups after the last fault, dissolve old ones, and retry orders after their backoff. */
const SETTLE_MILLISECONDS = 60_000;

/** One fault or repair. Numbers choose hosts and daemons by index. */
type Action =
    | {
        readonly kind: "silence" | "restore" | "restart" | "oldRole" | "loseAnswer" | "leave" | "return";
        readonly host: number;
    }
    | {
        readonly kind:
            | "disconnectLog"
            | "reconnectLog"
            | "disconnectEngines"
            | "reconnectEngines"
            | "loseAppendAnswers"
            | "keepAppendAnswers";
        readonly daemon: number;
    }
    | { readonly kind: "delayOrders"; readonly daemon: number; readonly milliseconds: number; }
    | { readonly kind: "split"; readonly daemon: number; }
    | { readonly kind: "heal" | "isolateHolder" | "restartAll"; }
    | { readonly kind: "silenceDomain"; readonly domain: "a" | "b"; }
    | { readonly kind: "version"; readonly version: "1" | "2"; };

interface Step {
    readonly action: Action;
    readonly milliseconds: number;
}

interface Scenario {
    readonly hostsIgnoringFence: readonly number[];
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
        kind: fc.constantFrom(
            "disconnectLog",
            "reconnectLog",
            "disconnectEngines",
            "reconnectEngines",
            "loseAppendAnswers",
            "keepAppendAnswers",
        ),
        daemon,
    }) as fc.Arbitrary<Action>,
    fc.record({ kind: fc.constant("delayOrders"), daemon, milliseconds: fc.integer({ min: 0, max: 25_000 }) }),
    fc.record({ kind: fc.constant("split"), daemon }),
    fc.record({ kind: fc.constantFrom("heal", "isolateHolder", "restartAll") }) as fc.Arbitrary<Action>,
    fc.record({ kind: fc.constant("silenceDomain"), domain: fc.constantFrom("a", "b") }),
    fc.record({ kind: fc.constant("version"), version: fc.constantFrom("1", "2") }),
);
const scenarios: fc.Arbitrary<Scenario> = fc.record({
    hostsIgnoringFence: fc.uniqueArray(host, { maxLength: 3 }),
    lagMilliseconds: fc.constantFrom(0, 20, 300),
    steps: fc.array(
        fc.record({ action: actions, milliseconds: fc.constantFrom(0, 100, 700, 3_000, 8_000, 14_000) }),
        { maxLength: 14 },
    ),
});

/** Fuzz module of replica groups. */
export const groupsFuzz: FuzzModule = createFuzzModule("groups", scenarios, runScenario);

async function runScenario(scenario: Scenario, trace: Trace): Promise<void> {
    const model = { members: MEMBERS, replicas: REPLICAS };
    const options: TestDataCentreOptions = {
        hosts,
        daemons,
        model,
        lagMilliseconds: scenario.lagMilliseconds,
        onOrder: (...order) => oracle.checkOrder(...order),
    };
    const dataCentre = new TestDataCentre(options);
    const oracle = new GroupsOracle(dataCentre, trace);
    const run = async (milliseconds: number): Promise<void> => {
        for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
            await dataCentre.run(STEP_MILLISECONDS);
            oracle.check();
        }
    };
    try {
        scenario.hostsIgnoringFence.forEach(index => dataCentre.engine(hosts[index] as string).enforcesFence = false);
        await run(3_000);
        for (const { action, milliseconds } of scenario.steps) {
            trace(`${Math.round(performance.now())} ${JSON.stringify(action)}`);
            applyAction(dataCentre, action, version => dataCentre.table.publish(fakeTable({ ...model, version })));
            await run(milliseconds);
        }
        trace(`${Math.round(performance.now())} all faults end`);
        endFaults(dataCentre);
        await run(SETTLE_MILLISECONDS);
        oracle.checkConverged(Math.min(REPLICAS, Math.floor(hosts.length / MEMBERS)));
    }
    finally {
        await dataCentre.stop();
    }
}

function applyAction(dataCentre: TestDataCentre, action: Action, edit: (version: string) => void): void {
    const engine = "host" in action ? dataCentre.engine(hosts[action.host] as string) : undefined;
    const acting = "daemon" in action ? dataCentre.daemonNamed(daemons[action.daemon] as string) : undefined;
    const setState = (state: "live" | "leaving") =>
        dataCentre.listed = dataCentre.listed.map(listed =>
            listed.host === engine?.host ? { ...listed, state } : listed
        );
    const handlers: Record<Action["kind"], () => void> = {
        silence: () => engine!.silent = true,
        restore: () => engine!.silent = false,
        restart: () => engine!.restart(),
        oldRole: () => engine!.returnWithOldRole(),
        loseAnswer: () => engine!.loseNextAnswer = true,
        leave: () => setState("leaving"),
        return: () => setState("live"),
        disconnectLog: () => acting!.stream.cut = true,
        reconnectLog: () => reconnectLog(acting!),
        disconnectEngines: () => dataCentre.engines.forEach(each => each.unreachableFrom.add(acting!.name)),
        reconnectEngines: () => dataCentre.engines.forEach(each => each.unreachableFrom.delete(acting!.name)),
        loseAppendAnswers: () => acting!.stream.loseAnswers = true,
        keepAppendAnswers: () => acting!.stream.loseAnswers = false,
        delayOrders: () =>
            dataCentre.engines.forEach(each =>
                each.orderDelays.set(acting!.name, action.kind === "delayOrders" ? action.milliseconds : 0)
            ),
        split: () => split(dataCentre, acting!.name),
        isolateHolder: () => isolateHolder(dataCentre),
        restartAll: () => dataCentre.engines.forEach(each => each.restart()),
        heal: () => dataCentre.daemons.forEach(each => each.setLiveDaemons(...daemons)),
        silenceDomain: () =>
            dataCentre.engines.forEach(each => {
                each.silent ||= action.kind === "silenceDomain" && each.host.startsWith(action.domain);
            }),
        version: () => action.kind === "version" && edit(action.version),
    };
    handlers[action.kind]();
}

function split(dataCentre: TestDataCentre, isolated: string): void {
    const others = daemons.filter(name => name !== isolated);
    dataCentre.daemons.forEach(({ name, setLiveDaemons }) =>
        setLiveDaemons(...name === isolated ? [isolated] : others)
    );
}

/** Disconnects the holder of a group from the log and from the other daemons; it still reaches the engines. */
function isolateHolder(dataCentre: TestDataCentre): void {
    const holder = Object.values(dataCentre.groups())[0]?.holder ?? daemons[0] as string;
    dataCentre.daemonNamed(holder).stream.cut = true;
    split(dataCentre, holder);
}

function reconnectLog(daemon: TestDataCentre["daemons"][number]): void {
    daemon.stream.cut = false;
    daemon.stream.read();
}

function endFaults(dataCentre: TestDataCentre): void {
    dataCentre.engines.forEach(engine => {
        engine.silent = false;
        engine.loseNextAnswer = false;
        engine.unreachableFrom.clear();
        engine.orderDelays.clear();
    });
    dataCentre.listed = dataCentre.listed.map(listed => ({ ...listed, state: "live" }));
    dataCentre.daemons.forEach(daemon => {
        daemon.stream.loseAnswers = false;
        reconnectLog(daemon);
        daemon.setLiveDaemons(...daemons);
    });
}
