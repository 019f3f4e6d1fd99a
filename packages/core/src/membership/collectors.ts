/**
 * Choice of the collectors of a data centre: the daemons to which the others report, and which state the sums. Nobody is
 * appointed: a daemon that receives reports acts on them, so that daemons that disagree about the choice do no harm.
 */
import type { DaemonLocation } from "../placement/limitshare.js";
import { rendezvous } from "./rendezvous.js";

/** Collectors of each data centre; the second one takes over when the first one is lost. */
export const COLLECTORS_PER_DATA_CENTRE = 2;

/** A daemon that may be chosen. */
export interface CollectorCandidate extends DaemonLocation {
    /** Capacity of the host's network link in Mbit/s, if it is known. Collectors send most, so that the best links go first. */
    readonly linkMegabits?: number;
}

/** Chooser that remembers its last choices, because hashing all names for each message would be slow. */
export interface CollectorChooser {
    /** Returns the collectors of a data centre in order, without those that are silent. */
    choose(dataCentre: string, daemons: readonly CollectorCandidate[], isSilent: (daemon: string) => boolean): string[];
}

/** Creates a chooser. */
export function createCollectorChooser(): CollectorChooser {
    const ranked = new Map<
        string,
        { readonly daemons: readonly CollectorCandidate[]; readonly names: readonly string[]; }
    >();
    const rank = (dataCentre: string, daemons: readonly CollectorCandidate[]): readonly string[] => {
        const known = ranked.get(dataCentre);
        if (known?.daemons === daemons) {
            return known.names;
        }
        const local = daemons.filter(daemon => daemon.dataCentre === dataCentre);
        const links = new Map(local.map(({ daemon, linkMegabits = 0 }) => [daemon, linkMegabits]));
        const names = rendezvous(`collector/${dataCentre}`, [...links.keys()], local.length)
            .sort((left, right) => (links.get(right) ?? 0) - (links.get(left) ?? 0));
        ranked.set(dataCentre, { daemons, names });
        return names;
    };
    return {
        choose: (dataCentre, daemons, isSilent) =>
            rank(dataCentre, daemons).filter(daemon => !isSilent(daemon)).slice(0, COLLECTORS_PER_DATA_CENTRE),
    };
}
