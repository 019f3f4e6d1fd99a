/** Demand meters by service. */
import { createDemandMeter, type DemandMeter } from "@damaskvale/core";

/** Returns a function that creates the meter of a service when it is first asked for. */
export function createDemandMeters(): (service: string) => DemandMeter {
    const meters = new Map<string, DemandMeter>();
    return service => {
        const meter = meters.get(service) ?? createDemandMeter();
        meters.set(service, meter);
        return meter;
    };
}
