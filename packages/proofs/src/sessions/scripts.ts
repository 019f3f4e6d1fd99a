/** Scripts of the golden sessions. */
import { setTimeout as delay } from "node:timers/promises";
import { MODEL, SERVICE } from "../failures/callers.js";
import { DATA_CENTRE } from "../failures/fixture.js";
import type { CallerRequest, Recorder } from "./recorder.js";

/** Script of one session. */
export type Script = (session: Recorder) => Promise<void>;

const chat = (fields: Readonly<Record<string, unknown>> = {}): CallerRequest => ({
    path: "/v1/chat/completions",
    body: { model: MODEL, max_tokens: 3, messages: [{ role: "user", content: "certification note" }], ...fields },
});
const change = (idempotencyKey: string, fee: string, daemon = 0): CallerRequest => ({
    path: `/services/${SERVICE}/receipts`,
    headers: { "idempotency-key": idempotencyKey },
    body: { application: "APO-1", fee },
    daemon,
});
const team = (name: string, weight: number) => ({
    kind: "team",
    name,
    keyHashes: [],
    models: ["*"],
    services: [],
    weight,
    queueLength: 10,
});
const draining = (host: string, state: "active" | "draining") => ({
    kind: "target",
    name: host,
    weight: 1,
    state,
    fencing: "ignored",
});
/** Long enough to append the outcome to the log; until then the key is in progress. */
const OUTCOME_APPEND_MILLISECONDS = 1000;
/**
 * Long enough for dispatch to a draining target to stop, for the next report of the leader, and for the resulting
 * orders.
 */
const DRAIN_MILLISECONDS = 7000;

/** All sessions by the name of their golden file. */
export const scripts: Readonly<Record<string, Script>> = {
    "chat": async session => {
        await session.caller({ method: "GET", path: "/v1/models" });
        await session.caller(chat());
        await session.caller(chat({ stream: true }));
        await session.caller({ ...chat({ stream: true, stream_options: { include_usage: true } }), daemon: 1 });
        await session.targets();
    },
    "refusals": async session => {
        await session.caller({ ...chat(), key: "" });
        await session.caller({ ...chat(), key: "key-of-nobody" });
        await session.caller(chat({ model: "no-such-model" }));
        await session.caller({ ...chat(), body: "{" });
        await session.caller(chat({ messages: "not a list" }));
        await session.caller({ ...chat(), headers: { "x-damaskvale-priority": "10" } });
        await session.caller({ ...chat(), headers: { "x-damaskvale-deadline-ms": "1" } });
        await session.caller({ method: "GET", path: "/services/no-such-service/" });
        await session.caller({ method: "GET", path: "/no-such-route" });
        await session.caller({ method: "PUT", path: "/v1/models" });
        await session.targets();
    },
    "not-repeatable": async session => {
        await session.caller(change("fee-1", "ZAR 95"));
        await delay(OUTCOME_APPEND_MILLISECONDS);
        await session.caller(change("fee-1", "ZAR 95"));
        await session.caller(change("fee-1", "ZAR 95", 1));
        await session.caller(change("fee-1", "ZAR 1"));
        await session.caller({ path: `/services/${SERVICE}/receipts`, body: { fee: "no key" } });
        await session.caller({ method: "GET", path: `/services/${SERVICE}/receipts` });
        await session.targets();
    },
    "lost-answer": async session => {
        await session.fault("service", { fault: "dropAnswer", method: "POST", count: 1 });
        await session.caller(change("fee-2", "ZAR 95"));
        await session.heal();
        await delay(OUTCOME_APPEND_MILLISECONDS);
        await session.caller(change("fee-2", "ZAR 95"));
        await session.caller(change("fee-2", "ZAR 95", 1));
        await session.targets();
    },
    "platform-outage": async session => {
        await session.fault("platform", { fault: "outage" });
        await session.caller(change("fee-3", "ZAR 95"));
        await session.caller(chat());
        await session.operator("POST", "table/edits", {
            edits: [{ id: "edit-outage", key: "team:late", baseRevision: 0, row: team("late", 1) }],
            wait: "accepted",
        });
        await session.heal();
        await session.targets();
    },
    "operators": async session => {
        const edit = (id: string, baseRevision: number, weight: number) => ({
            edits: [{ id, key: "team:contested", baseRevision, row: team("contested", weight) }],
            wait: "everywhere",
        });
        await session.operator("GET", "table");
        await session.operator("POST", "table/edits", edit("first", 0, 1));
        await session.operator("POST", "table/edits", edit("second", 0, 2), 1);
        await session.operator("POST", "table/edits", edit("first", 0, 1));
        await session.operator("POST", "table/edits", { edits: [{ id: "third", key: "team:x", baseRevision: "no" }] });
        await session.operator("GET", "table/history", undefined, 1);
        await session.caller({ method: "GET", path: "/control/v1/table" });
    },
    "draining": async session => {
        const edit = (id: string, state: "active" | "draining") => ({
            edits: [1, 2].map(number => ({
                id: `${id}-${number}`,
                key: `target:${DATA_CENTRE}-h${number}`,
                baseRevision: 0,
                row: draining(`${DATA_CENTRE}-h${number}`, state),
            })),
            wait: "everywhere",
        });
        await session.operator("POST", "table/edits", edit("drain", "draining"));
        await delay(DRAIN_MILLISECONDS);
        await session.caller(chat());
        await session.caller({ ...chat(), daemon: 1 });
        await session.targets();
    },
};
