/** The part of the daemon's package that the adapter to the platform uses. */
export { addressSchema, ipSchema } from "../../packages/daemon/src/peers/address.ts";
export { StoreError } from "../../packages/daemon/src/ports/registry.ts";
export { callServer } from "../../packages/daemon/src/relay/servercall.ts";
export { createTargetConnections } from "../../packages/daemon/src/relay/targetconnections.ts";
export { startPlatformDaemon } from "../../packages/daemon/src/relay/wire.ts";
