/** The part of the daemon's package that the adapter to the platform uses. */
export { StoreError } from "../../packages/daemon/src/ports/registry.ts";
export { createTargetConnections } from "../../packages/daemon/src/relay/targetconnections.ts";
export { callWhole } from "../../packages/daemon/src/relay/wholecall.ts";
export { startPlatformDaemon } from "../../packages/daemon/src/relay/wire.ts";
