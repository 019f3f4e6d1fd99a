/** Oracle of the groups fuzz: what must hold at every moment, from the truth at the engines and in the log. */
import { type GroupsBody, groupsFold, type GroupsState } from "@damaskvale/core";
import type { Order } from "@damaskvale/daemon/dist/ports/engine.js";
import type { FakeEngine, FakeStream } from "@damaskvale/daemon/dist/tasks/tests/fakes.js";
import type { TestDataCentre } from "@damaskvale/daemon/dist/tasks/tests/testdatacentre.js";
import type { Trace } from "./types.js";

/** Maximum age of a confirmation. Stated here again, so that a change of the code's own constant is found. */
const CONFIRMATION_BOUND_MILLISECONDS = 2_000;
/** Time between two checks, by which the oracle may see a change at an engine late. */
const SAMPLE_MILLISECONDS = 50;

/** Checks the invariants of groups in a scene. Throws at the first violation. */
export class GroupsOracle {
    /** When an engine last had a role and could be reached, by host, group and fencing number. */
    private readonly confirmedAt = new Map<string, number>();
    private violation: string | undefined;
    private readonly executed = new Map<string, number>();
    private readonly reader: FakeStream<GroupsState, GroupsBody>;

    constructor(private readonly scene: TestDataCentre, private readonly trace: Trace) {
        this.reader = scene.log.follow("oracle", "1");
    }

    /** Checks one order at the moment when a daemon sends it; the next check throws, as the sender would catch it. */
    checkOrder(daemon: string, host: string, order: Order): void {
        this.trace(
            `${Math.round(performance.now())} ${daemon} orders ${host} ${order.order} ${order.group} ${order.fence}`,
        );
        this.reader.read();
        const group = this.reader.folded.current().state.groups[order.group];
        if (order.order === "assign" && group !== undefined && group.fence > order.fence) {
            this.violation ??=
                `${daemon} orders ${order.group} with ${order.fence} after its takeover at ${group.fence}`;
        }
        if (order.order === "assign" && group !== undefined && group.holder !== daemon) {
            this.violation ??= `${daemon} orders ${order.group}, which ${group.holder} holds`;
        }
    }

    /** Checks the log, the engines and every daemon's view. */
    check(): void {
        if (this.violation !== undefined) {
            throw new Error(this.violation);
        }
        this.reader.read();
        this.checkOwnership(this.reader.folded.current().state);
        this.scene.engines.forEach(engine => this.checkEngine(engine));
        this.checkViews();
    }

    /** Checks that all daemons dispatch to `expected` groups after all faults have ended. */
    checkConverged(expected: number): void {
        this.scene.daemons.forEach(({ name, view, logged }) => {
            const found = view.dispatchable("m").length;
            if (found !== expected) {
                logged.slice(-20).forEach(line => this.trace(`${name}: ${line}`));
                const status = view.status().map(({ group, confirmation, retiring }) => ({
                    group,
                    confirmation,
                    retiring,
                }));
                throw new Error(`${name} dispatches to ${found} groups, not ${expected}: ${JSON.stringify(status)}`);
            }
        });
    }

    private checkOwnership(state: GroupsState): void {
        const owners = Object.values(state.groups).flatMap(group => group.members);
        const twice = owners.find((host, index) => owners.indexOf(host) !== index);
        if (twice !== undefined) {
            throw new Error(`host ${twice} belongs to two groups at offset ${this.reader.folded.current().nextOffset}`);
        }
        const wrong = Object.values(state.groups).find(group =>
            group.members.some(host => state.hosts[host]?.group !== group.group)
        );
        if (wrong !== undefined || !groupsFold.state.safeParse(state).success) {
            throw new Error(`ownership disagrees with group ${wrong?.group}`);
        }
    }

    private checkEngine(engine: FakeEngine): void {
        const { host, role, silent, enforcesFence, executed } = engine;
        if (role !== undefined && !silent) {
            this.confirmedAt.set(`${host} ${role.group} ${role.fence}`, performance.now());
        }
        const checked = this.executed.get(host) ?? 0;
        executed.slice(Math.max(1, checked)).forEach((order, index) => {
            const before = executed[Math.max(1, checked) + index - 1];
            if (enforcesFence && before !== undefined && order.fence < before.fence) {
                throw new Error(`${host} followed ${order.fence} after ${before.fence}`);
            }
        });
        this.executed.set(host, executed.length);
    }

    private checkViews(): void {
        const oldest = performance.now() - CONFIRMATION_BOUND_MILLISECONDS - SAMPLE_MILLISECONDS;
        this.scene.daemons.forEach(({ name, view }) =>
            view.dispatchable("m").forEach(({ group, fence, members }) => {
                const missing = members.find(host =>
                    (this.confirmedAt.get(`${host} ${group} ${fence}`) ?? Number.NEGATIVE_INFINITY) < oldest
                );
                if (missing !== undefined) {
                    throw new Error(`${name} dispatches to ${group} although ${missing} has not confirmed it`);
                }
                if (!view.mayDispatch(group, fence)) {
                    throw new Error(`${name} lists ${group} and refuses it`);
                }
            })
        );
    }
}
