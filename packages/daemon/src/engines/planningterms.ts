/**
 * Terms in which this daemon plans domains. A term lasts as long as each round plans the domain under the same fencing token; another
 * daemon may have planned it between two terms.
 */
import type { Target } from "@damaskvale/core";

/** Hosts of a domain for which this daemon plans in a round. */
export interface OwnHosts {
    /** Key of the service and the domain. */
    readonly key: string;
    readonly targets: readonly Target[];
}

/** Called for each term that begins; `isContinued` is whether the last round planned the domain too, under another token. */
export type TermListener = (hosts: OwnHosts, isContinued: boolean) => void;

/** Terms of all domains. */
export interface PlanningTerms {
    /** Records the domains that are planned in this round, and begins the terms of those that have none under the token. */
    update(own: readonly OwnHosts[], fencingToken: number): void;
    /** Ends all terms, because this daemon plans for no domain. */
    end(): void;
}

/** Creates terms of which none has begun. */
export function createPlanningTerms(onBegin: TermListener): PlanningTerms {
    let tokens: ReadonlyMap<string, number> = new Map();
    return {
        update: (own, fencingToken) => {
            own.filter(({ key }) => tokens.get(key) !== fencingToken)
                .forEach(hosts => onBegin(hosts, tokens.has(hosts.key)));
            tokens = new Map(own.map(({ key }) => [key, fencingToken]));
        },
        end: () => {
            tokens = new Map();
        },
    };
}
