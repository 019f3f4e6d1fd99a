/** Port to the log of numbered events. The catalogue is `events.ts`. */
import type { EventName } from "../events.js";

/** Fields of one event. No secret may be among them. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Receiver of numbered events. */
export interface EventLog {
    emit(event: EventName, fields?: EventFields): void;
}
