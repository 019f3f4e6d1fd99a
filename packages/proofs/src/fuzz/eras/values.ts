/** Values that the simulated operators and targets write to the store. */
import type { RelayConfiguration, Target } from "@damaskvale/core";

/** Service of all simulated targets. */
export const SERVICE = "pool";

/** Returns a version of the configuration with the service of the targets. */
export function configurationOf(version: number): RelayConfiguration {
    return {
        version,
        routes: [],
        services: [{ name: SERVICE, healthPath: "/", maximumConnections: 9 }],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
    };
}

/** Returns the entry of a target. */
export function targetOf(id: string, draining: boolean): Target {
    return {
        id,
        service: SERVICE,
        address: `${id}.example:80`,
        dataCentre: "a",
        draining,
        registered: true,
        slots: 6,
        startedAt: 1,
        stagedModels: [],
        busy: false,
        entryNumber: 0,
    };
}
