/** Selects the daemons that a daemon keeps a link to. */
import type { MemberInfo } from "./membership.js";
import { rendezvous } from "./rendezvous.js";

/** Links that a daemon opens to each remote data centre. Two, so that losing one link does not disconnect it. */
export const LINKS_PER_DATA_CENTRE = 2;

/** Returns the daemons to link to: all in the local data centre, and `LINKS_PER_DATA_CENTRE` in each remote one. */
export function chooseLinks(self: MemberInfo, live: readonly MemberInfo[]): MemberInfo[] {
    const others = live.filter(info => info.daemon !== self.daemon);
    const remote = [...new Set(others.map(info => info.dataCentre))].filter(name => name !== self.dataCentre);
    const chosen = remote.flatMap(dataCentre => {
        const names = others.filter(info => info.dataCentre === dataCentre).map(info => info.daemon);
        return rendezvous(`link/${self.daemon}`, names, LINKS_PER_DATA_CENTRE);
    });
    return others.filter(info => info.dataCentre === self.dataCentre || chosen.includes(info.daemon));
}
