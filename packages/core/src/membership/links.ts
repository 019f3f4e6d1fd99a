/** Which daemons a daemon keeps a link to. */
import type { MemberInfo } from "./membership.js";
import { rendezvous } from "./rendezvous.js";

/** Links that a daemon opens to each other data centre. Two, so that one lost link does not cut it off. */
export const LINKS_PER_DATA_CENTRE = 2;

/** Returns the daemons to link to: all of the own data centre, and a few of each other one. */
export function chooseLinks(self: MemberInfo, live: readonly MemberInfo[]): MemberInfo[] {
    const others = live.filter(news => news.daemon !== self.daemon);
    const remote = [...new Set(others.map(news => news.dataCentre))].filter(name => name !== self.dataCentre);
    const chosen = remote.flatMap(dataCentre => {
        const names = others.filter(news => news.dataCentre === dataCentre).map(news => news.daemon);
        return rendezvous(`link/${self.daemon}`, names, LINKS_PER_DATA_CENTRE);
    });
    return others.filter(news => news.dataCentre === self.dataCentre || chosen.includes(news.daemon));
}
