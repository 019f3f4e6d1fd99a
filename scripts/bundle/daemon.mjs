/** The part of the daemon's package that the adapter to the platform uses. */
export { StoreError } from "../../packages/daemon/src/ports/registry.ts";
export { startPlatformDaemon } from "../../packages/daemon/src/relay/wire.ts";
export { withTimeout } from "../../packages/daemon/src/tasks/withtimeout.ts";
