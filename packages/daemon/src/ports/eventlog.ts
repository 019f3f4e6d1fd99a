/** Port to the log of numbered events, which are defined in `events.ts`. */
import type { EventName } from "../events.js";

/** Fields of one event. They must not contain secrets. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Log for numbered events. */
export interface EventLog {
    emit(event: EventName, fields?: EventFields): void;
}
