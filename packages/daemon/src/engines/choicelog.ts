/** Logs which groups the planner chooses for free hosts. */
import type { GroupChoice } from "@damaskvale/core";
import type { EventLog } from "../ports/eventlog.js";
import { fleetKey, roundDemand } from "./fleet.js";

/** Log of the choices of all domains. */
export interface ChoiceLog {
    /** Logs a choice if there were free hosts and it differs from the last logged choice of the domain. */
    record(service: string, domain: string, choice: GroupChoice | undefined): void;
}

/** Creates a log of choices. */
export function createChoiceLog(log: EventLog): ChoiceLog {
    const logged = new Map<string, string>();
    return {
        record: (service, domain, choice) => {
            if (choice === undefined || choice.free.count === 0) {
                return;
            }
            const models = choice.demands.map(({ profile: { name }, demand, groups, holders }) => ({
                name,
                demand: roundDemand(demand),
                groups,
                holders,
                chosen: choice.newGroups.get(name),
            }));
            const seen = JSON.stringify([
                choice.free.count,
                models.map(({ name, holders, chosen }) => [name, holders, chosen]),
            ]);
            const key = fleetKey(service, domain);
            if (logged.get(key) !== seen) {
                logged.set(key, seen);
                log.emit("groupsChosen", { domain, ...choice.free, models });
            }
        },
    };
}
