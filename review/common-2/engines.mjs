/** Starts servers with engines, writes their entries, and notes what they run. */
import { join } from "node:path";
import { until } from "./deployment.mjs";

const EXPIRY_MILLISECONDS = 3_600;

/** Engine of a service, as the configuration states it. */
export function engineOf(models) {
    return {
        slots: 18,
        kvCapacityTokens: 1_710_000,
        stride: 6,
        models: models.map(({ name, size }) => ({ name, size, share: 1, pace: 1, loadS: 0.2, warmS: 0.1 })),
        step_ms: 6.45,
        per_seq_ms: 0.14,
        context_per_k: 0.0042,
        read_per_s: 56_100,
        pairs_per_m: 0.309,
        chunk: 2_048,
        report_lag_ms: 200,
        loadsPerS: 5.5,
        loads_at_once: 8,
        usual: { prompt: 1_115, answer: 152 },
        keeps: 1,
        far_x: 3,
        formMs: 40,
    };
}

/** Starts an engine; its entry is removed some seconds after the process has ended. */
export async function startEngine(deployment, { id, service, domain = "d1", ...options }) {
    const engine = { id, entry: undefined, ran: [], answered: [], wrote: new Map(), unframed: [] };
    const handlers = {
        entry: ({ entry }) => {
            engine.entry = entry;
            deployment.store.put("keyed.servers", id, entry);
        },
        ran: ({ requestId, first }) => {
            deployment.note(`${id} runs ${requestId} from event ${first}`);
            engine.ran.push(requestId);
        },
        wrote: ({ requestId, written }) => engine.wrote.set(requestId, written),
        unframed: ({ requestId }) => {
            deployment.note(`${id} answers ${requestId} without a length`);
            engine.unframed.push(requestId);
        },
        answered: ({ requestId, status }) => {
            deployment.note(`${id} has answered ${requestId} with ${status}`);
            engine.answered.push(requestId);
        },
    };
    const words = [join(import.meta.dirname, "engine.mjs"), id, service, domain, JSON.stringify(options)];
    engine.child = deployment.start(words, {}, line => {
        const { kind, ...fields } = JSON.parse(line);
        handlers[kind](fields);
    });
    void engine.child.ended.then(() =>
        setTimeout(() => deployment.store.put("keyed.servers", id), EXPIRY_MILLISECONDS).unref()
    );
    await until(`${id} is registered`, () => engine.entry !== undefined);
    return engine;
}

/** Waits until a number of groups serve, and returns their heads. */
export async function headsOf(engines, count) {
    const heads = () => engines.filter(({ entry }) => entry.group?.state === "open" && entry.group.rank === 0);
    await until(`${count} groups serve`, () => heads().length >= count);
    return heads();
}
