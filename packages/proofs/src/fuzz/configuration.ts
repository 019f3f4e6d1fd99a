/** Fuzz module of the table: concurrent edits, log faults, retention, snapshots and restarts on three daemons. */
import {
    BASIS_WINDOW,
    chunkSnapshot,
    completeSnapshots,
    type Edit,
    encodeSnapshot,
    type FoldState,
    sha256Hex,
    type Snapshot,
    SNAPSHOT_INTERVAL_OFFSETS,
    snapshotStream,
    tableFold,
    type TableState,
} from "@damaskvale/core";
import type { Decision } from "@damaskvale/core";
import type { AppendFailure } from "@damaskvale/daemon";
import fc from "fast-check";
import type { Result } from "ts-results";
import { type Step, stepArbitrary, type StepOf } from "./configurationsteps.js";
import { TableOracle, tableText } from "./tableoracle.js";
import { createFuzzModule, type Trace } from "./types.js";
import { assertInvariant, type DaemonName, daemonNames, SimulatedCluster } from "./world/daemon.js";
import { withFakeTime } from "./world/time.js";

const STREAM = "configuration";
const EDIT_TIMEOUT_MILLISECONDS = 3_000;
/** Long enough for every search for a newer state, which waits up to 30 s, and for every append to finish. */
const SETTLE_MILLISECONDS = 70_000;
type TableWorld = SimulatedCluster<TableState, Edit>;

/** Fault that remains at the end: none, no links between the daemons, or no link from one daemon to the log. */
const remainingFaults = ["healed", "isolated", "peers"] as const;
type RemainingFault = typeof remainingFaults[number];

interface SubmittedEdit {
    readonly id: string;
    readonly key: string;
    readonly base: number;
    result?: Result<Decision, AppendFailure>;
}

class Scenario {
    private readonly oracle = new TableOracle();
    private readonly submittedEdits: SubmittedEdit[] = [];
    private readonly snapshots: Snapshot[] = [];
    private count = 0;

    constructor(private readonly world: TableWorld, private readonly trace: Trace) {}

    checkState(name: string, { nextOffset, state, decisions }: FoldState<TableState>): void {
        const history = this.world.platform.history(STREAM);
        this.submittedEdits.map(({ id }) => ({ id, decision: decisions.get(id) })).forEach(({ id, decision }) => {
            const first = this.oracle.firstDecision(history, id);
            const isFirst = decision === undefined
                || (decision.accepted === first?.accepted && decision.offset === first?.offset);
            // A copy that is appended after the window gets its own decision and has no effect.
            const isLateCopy = first !== undefined && decision?.issue?.code === "stale_basis"
                && decision.offset > first.offset + BASIS_WINDOW;
            assertInvariant(
                isFirst || isLateCopy,
                `${name} decided ${id} as ${JSON.stringify(decision)}, not ${JSON.stringify(first)}`,
            );
        });
        const expected = this.oracle.tableAt(history, nextOffset)?.text;
        const text = tableText(state.rows.entries());
        assertInvariant(
            text === expected,
            `${name} has table "${text}" at offset ${nextOffset}, expected "${expected}"`,
        );
    }

    async play(step: Step): Promise<void> {
        this.trace(JSON.stringify(step));
        const handlers: { [Kind in Step["kind"]]: (step: StepOf<Kind>) => void | Promise<void>; } = {
            edits: ({ edits }) => edits.forEach(one => this.edit(one)),
            advance: ({ milliseconds }) => this.world.advance(milliseconds),
            fault: one => this.world.platform.setFault(one.daemon, one.fault),
            cutOff: one => this.world.network.setCutOff(one.daemon, one.isCutOff),
            restart: one => {
                this.world.kill(one.daemon);
                this.world.start(one.daemon);
            },
            retention: ({ keep, snapshots }) =>
                this.world.platform.truncate(snapshots ? snapshotStream(STREAM) : STREAM, keep),
            repeat: ({ record }) => this.repeat(record),
            deliver: () => this.world.platform.commitDelayedAppends(),
            oldSnapshot: one => this.writeOldSnapshot(one),
            noise: ({ entries }) => {
                [...Array(entries).keys()].forEach(() => this.world.platform.commit(STREAM, "noise"));
            },
            behind: one => this.isolateDuringRetention(one),
            unknown: () => {
                this.world.platform.commit(STREAM, { version: 2, id: "future" });
            },
        };
        await (handlers[step.kind] as (step: Step) => void | Promise<void>)(step);
        this.keepSnapshot();
        this.world.check();
    }

    /**
     * Ends all faults apart from `remainingFault`. Checks that each daemon reaches the end of the log if an available state
     * allows it, and that a recent snapshot exists for later readers.
     */
    async finish(remainingFault: RemainingFault): Promise<void> {
        const { platform, network } = this.world;
        this.world.heal();
        daemonNames.forEach(name => network.setCutOff(name, remainingFault === "isolated"));
        platform.setFault("a", remainingFault === "peers" ? "outage" : "none");
        const before = this.offsets();
        await this.world.advance(SETTLE_MILLISECONDS);
        this.world.check();
        const history = platform.history(STREAM);
        const end = this.oracle.endOffset(history);
        const first = Math.min(platform.firstOffset(STREAM), end);
        const offsets = this.offsets();
        const known = [this.newestSnapshot(true), ...remainingFault === "isolated" ? [] : offsets];
        this.trace(`end ${end}, first offset ${first}, daemons at ${offsets.join(" ")}, known ${known.join(" ")}`);
        offsets.forEach((offset, index) => {
            const canFollow = Math.max(before[index] ?? 0, ...known) >= first;
            assertInvariant(!canFollow || offset === end, `a daemon stopped at offset ${offset}, expected ${end}`);
        });
        const isFollowed = end === history.length && offsets.includes(end);
        const behind = end - this.newestSnapshot(false);
        const allowed = Math.min(SNAPSHOT_INTERVAL_OFFSETS, Math.max(1, (end - first) / 2));
        assertInvariant(
            !isFollowed || end === 0 || behind < allowed,
            `the newest snapshot is ${behind} offsets behind`,
        );
        if (isFollowed) {
            await this.checkFreshEdits(end, remainingFault);
        }
        this.checkEdits();
    }

    /** Checks that an edit of each daemon that has caught up and reaches the log is accepted. */
    private async checkFreshEdits(end: number, remainingFault: RemainingFault): Promise<void> {
        const healthy = [...this.world.processes.values()].filter(({ name, streams }) =>
            streams[0]?.folded.current().nextOffset === end && (remainingFault !== "peers" || name !== "a")
        );
        for (const { name } of healthy) {
            this.edit({ daemon: name, row: "one", weight: 1, remove: false });
            const last = this.submittedEdits.at(-1);
            await this.world.advance(EDIT_TIMEOUT_MILLISECONDS);
            assertInvariant(
                last?.result?.ok === true && last.result.val.accepted,
                `${last?.id} of ${name} was not accepted`,
            );
        }
        this.world.check();
    }

    private offsets(): number[] {
        return [...this.world.processes.values()].map(({ streams }) => streams[0]?.folded.current().nextOffset ?? 0);
    }

    /** Returns the offset of the newest complete and retained snapshot; with `isChecked`, its hash must match as well. */
    private newestSnapshot(isChecked: boolean): number {
        const { platform } = this.world;
        const name = snapshotStream(STREAM);
        const values = platform.history(name).slice(platform.firstOffset(name)).map(({ value }) => value);
        const found = completeSnapshots(STREAM, values, 0).find(one =>
            !isChecked || one.sha256 === sha256Hex(one.text)
        );
        return found?.nextOffset ?? 0;
    }

    private edit({ daemon: name, row: rowOfEdit, weight, remove }: StepOf<"edits">["edits"][number]): void {
        const stream = this.world.processes.get(name)?.streams[0];
        if (stream === undefined) {
            return;
        }
        this.count += 1;
        const key = `target:${rowOfEdit}`;
        const current = stream.folded.current().state.rows.get(key);
        const base = current?.revision ?? 0;
        const row = {
            kind: "target" as const,
            name: rowOfEdit,
            weight,
            state: "active" as const,
            fencing: "ignored" as const,
        };
        const one: SubmittedEdit = { id: `edit-${this.count}`, key, base };
        this.submittedEdits.push(one);
        const body: Edit = {
            kind: "edit",
            key,
            baseRevision: base,
            row: remove && current !== undefined ? undefined : row,
        };
        void stream.append(body, { id: one.id, timeoutMilliseconds: EDIT_TIMEOUT_MILLISECONDS }).then(result => {
            one.result = result;
            this.trace(`  ${one.id} on ${key}@${base} by ${name}: ${JSON.stringify(result.val)}`);
        });
    }

    /** Isolates a daemon while others edit and retention removes entries that it has not read. */
    private async isolateDuringRetention(
        { daemon: name, edits, keep, restartOthers }: StepOf<"behind">,
    ): Promise<void> {
        const { platform, network } = this.world;
        platform.setFault(name, "outage");
        network.setCutOff(name, true);
        await this.world.advance(100);
        for (const one of edits) {
            this.edit(one);
            await this.world.advance(700);
        }
        platform.truncate(STREAM, keep);
        daemonNames.filter(other => other !== name && restartOthers).forEach(other => {
            this.world.kill(other);
            this.world.start(other);
        });
        platform.setFault(name, "none");
        await this.world.advance(500);
        network.setCutOff(name, false);
    }

    private repeat(index: number): void {
        const records = this.world.platform.history(STREAM).filter(({ value }) =>
            typeof value === "object" && (value as { version?: number; }).version === 1
        );
        const record = records[index % Math.max(1, records.length)];
        if (record !== undefined) {
            this.world.platform.commit(STREAM, record.value);
        }
    }

    private keepSnapshot(): void {
        const stream = [...this.world.processes.values()][this.count % daemonNames.length]?.streams[0];
        const folded: FoldState<TableState> | undefined = stream?.folded.current();
        if (folded !== undefined && this.snapshots.at(-1)?.nextOffset !== folded.nextOffset) {
            this.snapshots.push(encodeSnapshot(STREAM, folded));
        }
    }

    /** Writes an outdated, corrupt or incomplete snapshot, as from a daemon that lags behind or crashes while writing. */
    private writeOldSnapshot({ snapshot, damage, restart }: StepOf<"oldSnapshot">): void {
        const old = this.snapshots.at(-1 - snapshot % Math.max(1, this.snapshots.length));
        if (old !== undefined) {
            this.count += 1;
            const text = damage === "corrupt" ? old.text.replace(/"weight":\d/, '"weight":0') : old.text;
            const chunks = chunkSnapshot(`old-${this.count}`, { ...old, text });
            const written = damage === "cut" ? chunks.map(chunk => ({ ...chunk, count: chunk.count + 1 })) : chunks;
            written.forEach(chunk => this.world.platform.commit(snapshotStream(STREAM), chunk));
            if (restart !== undefined) {
                this.world.kill(restart);
                this.world.start(restart);
            }
        }
    }

    private checkEdits(): void {
        const history = this.world.platform.history(STREAM);
        const accepted = new Set<string>();
        this.submittedEdits.forEach(({ id, key, base, result }) => {
            const decision = this.oracle.firstDecision(history, id);
            if (result?.ok === true) {
                assertInvariant(
                    decision?.accepted === result.val.accepted,
                    `${id} was reported as ${result.val.accepted}`,
                );
                const place = `${key}@${base}`;
                assertInvariant(
                    !result.val.accepted || !accepted.has(place) || base === 0,
                    `two edits of ${place} were accepted`,
                );
                accepted.add(result.val.accepted ? place : "");
            }
            if (result?.err === true && result.val.kind === "refused") {
                assertInvariant(decision === undefined, `${id} was reported as refused, but is in the log`);
            }
        });
    }
}

/** Fuzz module of the configuration stream. */
export const configurationFuzz = createFuzzModule(
    "configuration",
    fc.record({
        steps: fc.array(stepArbitrary, { minLength: 1, maxLength: 25, size: "max" }),
        remainingFault: fc.constantFrom(...remainingFaults),
    }),
    ({ steps, remainingFault }, trace) =>
        withFakeTime(async time => {
            const world: TableWorld = new SimulatedCluster(
                time,
                tableFold,
                [STREAM],
                trace,
                (...[process, , folded]) => {
                    trace(`  ${process.name}#${process.incarnation} at ${folded.nextOffset}`);
                    scenario.checkState(process.name, folded);
                },
            );
            const scenario = new Scenario(world, trace);
            try {
                daemonNames.forEach((name: DaemonName) => world.start(name));
                for (const step of steps) {
                    await scenario.play(step);
                }
                await scenario.finish(remainingFault);
            }
            finally {
                world.stop();
            }
        }),
);
