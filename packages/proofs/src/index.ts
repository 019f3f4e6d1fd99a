export * from "./cluster/ports.js";
