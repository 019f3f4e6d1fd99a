export * from "./engine/answer.js";
export * from "./shared/faults.js";
export type { JournalEntry } from "./shared/journal.js";
export { freePort, freePorts } from "./shared/ports.js";
