/** Chooses the collectors of the other data centres, as the first collector of one knows them. */
import type { CollectorChooser } from "@damaskvale/core";
import type { DaemonPresence } from "../ports/presence.js";
import type { DaemonList } from "./daemonlist.js";

/** What a collector knows of the fleet. */
export interface KnownFleet {
    readonly self: DaemonPresence;
    readonly daemons: DaemonList;
    /** Daemons that are known to run. */
    readonly running: ReadonlySet<string>;
}

/**
 * Returns the collectors of all data centres but the own one. While none of a data centre is known to run, all of its daemons
 * count as running.
 */
export function collectorsElsewhere({ self, daemons, running }: KnownFleet, chooser: CollectorChooser): string[] {
    const others = daemons.others();
    const dataCentres = new Set(others.map(({ dataCentre }) => dataCentre));
    return [...dataCentres].filter(dataCentre => dataCentre !== self.dataCentre).flatMap(dataCentre => {
        const isKnown = others.some(other => other.dataCentre === dataCentre && running.has(other.daemon));
        return chooser.choose(dataCentre, daemons.all(), daemon => isKnown && !running.has(daemon));
    });
}
