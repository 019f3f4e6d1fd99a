export * from "./admission/types.js";
export * from "./groups/types.js";
export * from "./issue.js";
export * from "./outcome.js";
export * from "./routing/types.js";
export * from "./stream/record.js";
export * from "./stream/types.js";
export * from "./table/row.js";
