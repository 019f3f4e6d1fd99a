/** Oracle of the groups fuzz module: checks the invariants against the state of the engines and of the log. */
import { type GroupsBody, groupsFold, type GroupsState } from "@damaskvale/core";
import type { Order } from "@damaskvale/daemon/dist/ports/engine.js";
import type { FakeEngine, FakeStream } from "@damaskvale/daemon/dist/tasks/tests/fakes.js";
import type { TestDataCentre } from "@damaskvale/daemon/dist/tasks/tests/testdatacentre.js";
import type { Trace } from "./types.js";

/** Maximum age of a confirmation. Repeated here, so that a change of the constant in the code fails the fuzz module. */
const CONFIRMATION_BOUND_MILLISECONDS = 2_000;
/** Time between two checks: the oracle sees a change at an engine at most this late. */
const SAMPLE_MILLISECONDS = 50;

/** Checks the invariants of groups in a simulated data centre. Throws at the first violation. */
export class GroupsOracle {
    /** Time at which an engine last had a role and was reachable, by host, group and fencing token. */
    private readonly confirmedAt = new Map<string, number>();
    private violation: string | undefined;
    private readonly checkedOrders = new Map<string, number>();
    private readonly logReader: FakeStream<GroupsState, GroupsBody>;

    constructor(private readonly dataCentre: TestDataCentre, private readonly trace: Trace) {
        this.logReader = dataCentre.log.follow("oracle", "1");
    }

    /** Checks an order when a daemon sends it. The next `check` throws, because the sender would catch an error here. */
    checkOrder(daemon: string, host: string, order: Order): void {
        this.trace(
            `${Math.round(performance.now())} ${daemon} orders ${host} ${order.order} ${order.group} ${order.fence}`,
        );
        this.logReader.read();
        const group = this.logReader.folded.current().state.groups[order.group];
        if (order.order === "assign" && group !== undefined && group.fence > order.fence) {
            this.violation ??=
                `${daemon} orders ${order.group} with fencing token ${order.fence} after its takeover with ${group.fence}`;
        }
        if (order.order === "assign" && group !== undefined && group.holder !== daemon) {
            this.violation ??= `${daemon} orders ${order.group}, but ${group.holder} holds it`;
        }
    }

    /** Checks the log, the engines and every daemon's view. */
    check(): void {
        if (this.violation !== undefined) {
            throw new Error(this.violation);
        }
        this.logReader.read();
        this.checkOwnership(this.logReader.folded.current().state);
        this.dataCentre.engines.forEach(engine => this.checkEngine(engine));
        this.checkViews();
    }

    /** Checks that every daemon dispatches to `expected` groups after all faults have ended. */
    checkConverged(expected: number): void {
        this.dataCentre.daemons.forEach(({ name, view, logged }) => {
            const found = view.dispatchable("m").length;
            if (found !== expected) {
                logged.slice(-20).forEach(line => this.trace(`${name}: ${line}`));
                const status = view.status().map(({ group, confirmation, retiring }) => ({
                    group,
                    confirmation,
                    retiring,
                }));
                throw new Error(
                    `${name} dispatches to ${found} groups, expected ${expected}: ${JSON.stringify(status)}`,
                );
            }
        });
    }

    private checkOwnership(state: GroupsState): void {
        const owners = Object.values(state.groups).flatMap(group => group.members);
        const twice = owners.find((host, index) => owners.indexOf(host) !== index);
        if (twice !== undefined) {
            throw new Error(
                `host ${twice} belongs to two groups at offset ${this.logReader.folded.current().nextOffset}`,
            );
        }
        const wrong = Object.values(state.groups).find(group =>
            group.members.some(host => state.hosts[host]?.group !== group.group)
        );
        if (wrong !== undefined || !groupsFold.state.safeParse(state).success) {
            throw new Error(`the owners of hosts do not match the members of group ${wrong?.group}`);
        }
    }

    private checkEngine(engine: FakeEngine): void {
        const { host, role, silent, enforcesFence, executed } = engine;
        if (role !== undefined && !silent) {
            this.confirmedAt.set(`${host} ${role.group} ${role.fence}`, performance.now());
        }
        const checked = this.checkedOrders.get(host) ?? 0;
        executed.slice(Math.max(1, checked)).forEach((order, index) => {
            const before = executed[Math.max(1, checked) + index - 1];
            if (enforcesFence && before !== undefined && order.fence < before.fence) {
                throw new Error(`${host} executed an order with fencing token ${order.fence} after ${before.fence}`);
            }
        });
        this.checkedOrders.set(host, executed.length);
    }

    private checkViews(): void {
        const oldest = performance.now() - CONFIRMATION_BOUND_MILLISECONDS - SAMPLE_MILLISECONDS;
        this.dataCentre.daemons.forEach(({ name, view }) =>
            view.dispatchable("m").forEach(({ group, fence, members }) => {
                const missing = members.find(host =>
                    (this.confirmedAt.get(`${host} ${group} ${fence}`) ?? Number.NEGATIVE_INFINITY) < oldest
                );
                if (missing !== undefined) {
                    throw new Error(`${name} dispatches to ${group} although ${missing} has not confirmed it`);
                }
                if (!view.mayDispatch(group, fence)) {
                    throw new Error(`${name} lists ${group} as dispatchable, but does not allow a dispatch`);
                }
            })
        );
    }
}
