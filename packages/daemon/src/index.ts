export * from "./events.js";
export * from "./messages.js";
export * from "./metrics.js";
export * from "./settings.js";
