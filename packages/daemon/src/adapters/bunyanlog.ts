/** Event log that writes numbered events as JSON lines with bunyan. */
import bunyan from "bunyan";
import { type EventLevel, events } from "../events.js";
import type { EventFields, EventLog } from "../ports/eventlog.js";

/** Options of the event log. `level` is the lowest level that is written. */
export interface BunyanLogOptions {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly level: EventLevel;
    /** Values that must never be written. */
    readonly secrets: readonly string[];
    /** Destination of the lines; standard output by default. */
    readonly stream?: NodeJS.WritableStream;
}

const REDACTED = "[redacted]";

/** Creates the event log of a daemon. Secrets are redacted in every string field, at any depth. */
export function createBunyanLog(options: BunyanLogOptions): EventLog {
    const logger = bunyan.createLogger({
        name: "damaskvaled",
        daemon: options.daemon,
        dataCentre: options.dataCentre,
        level: options.level,
        stream: options.stream ?? process.stdout,
    });
    return {
        emit: (name, fields = {}) => {
            const { level, number, text } = events[name];
            logger[level]({ event: number, ...redact(fields, options.secrets) as EventFields }, text);
        },
    };
}

/** Redacts secrets in all strings of a value. An error becomes an object with its name, message and stack. */
export function redact(value: unknown, secrets: readonly string[]): unknown {
    if (typeof value === "string") {
        return secrets.reduce((text, secret) => text.replaceAll(secret, REDACTED), value);
    }
    if (value instanceof Error) {
        return redact({ name: value.name, message: value.message, stack: value.stack }, secrets);
    }
    if (Array.isArray(value)) {
        return value.map(item => redact(item, secrets));
    }
    if (typeof value === "object" && value) {
        return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, redact(item, secrets)]));
    }
    return value;
}
