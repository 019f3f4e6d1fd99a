/** Metrics are derived from log events, without labels whose cardinality grows with requests or targets. */
import { expect } from "chai";
import type { EventName } from "../../events.js";
import { createDaemonMetrics } from "../metrics.js";

describe("daemon metrics", () => {
    it("count events and requests by outcome, observe durations, and forward the events", async () => {
        const passed: EventName[] = [];
        const { log, text } = createDaemonMetrics({ emit: name => void passed.push(name) }, {
            requestsInProgress: () => 3,
            linesDropped: () => 7,
            configurationVersion: () => 12,
            servingGroups: () => 5,
            limitedTargets: () => 2,
            restingTargets: () => 6,
            unreadableStatements: () => 8,
            slowTargets: () => 9,
            failingTargets: () => 10,
            quarantinedParts: () => 4,
            evacuatedDataCentres: () => 1,
            coldTargets: () => 3,
            storeEra: () => 6,
            callerBytes: () => 9,
            callerConnections: () => 10,
            storeErasIgnored: () => 8,
        });
        log.emit("requestEnded", {
            requestId: "r1",
            outcome: "complete",
            milliseconds: 120,
            firstEventMilliseconds: 60,
        });
        log.emit("engineOrdered", { host: "i-1", kind: "join", result: "accepted" });
        log.emit("staleMembership", { host: "i-1", knownFrom: "report" });
        log.emit("storeEraRose", { era: 6, previous: 5 });
        const lines = (await text()).split("\n");
        expect(lines).to.include.members([
            'damaskvale_events_total{event="requestEnded"} 1',
            'damaskvale_requests_total{outcome="complete"} 1',
            'damaskvale_orders_total{kind="join",result="accepted"} 1',
            'damaskvale_stale_memberships_total{source="report"} 1',
            "damaskvale_request_milliseconds_sum 120",
            'damaskvale_first_event_milliseconds_bucket{le="100"} 1',
            "damaskvale_requests_in_progress 3",
            "damaskvale_log_lines_dropped 7",
            "damaskvale_serving_groups 5",
            "damaskvale_limited_targets 2",
            "damaskvale_resting_targets 6",
            "damaskvale_unreadable_statements 8",
            "damaskvale_slow_targets 9",
            "damaskvale_failing_targets 10",
            "damaskvale_evacuated_data_centres 1",
            "damaskvale_cold_targets 3",
            "damaskvale_quarantined_parts 4",
            "damaskvale_store_era_changes_total 1",
            "damaskvale_store_era 6",
            "damaskvale_store_eras_ignored 8",
            "damaskvale_caller_bytes 9",
            "damaskvale_caller_connections 10",
        ]);
        expect(lines.join("\n")).to.not.contain("r1").and.not.contain("i-1");
        expect(passed).to.deep.equal(["requestEnded", "engineOrdered", "staleMembership", "storeEraRose"]);
    });
});
