/** Generates the host failures, replacements and fabric domain outages of one day. Times are in seconds. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";

/** Seconds of a day. */
export const DAY_SECONDS = 86_400;
/** How long the platform lists a host as leaving before it removes the host. */
export const NOTICE_SECONDS = 120;
const FAILURE_SECONDS = 7_200;
const REPLACEMENT_SECONDS = 1_200;
const DOMAIN_OUTAGE_SECONDS = 3_600;

/** Absence of a host from `from` to `to`. A planned absence is listed as leaving from `noticeAt`. */
export interface Absence {
    readonly host: string;
    readonly noticeAt?: number;
    readonly from: number;
    readonly to: number;
}

/** Size of the deployment and number of faults in one day. */
export interface DayOptions {
    readonly seed: number;
    readonly dataCentres: number;
    readonly domainsPerDataCentre: number;
    readonly hostsPerDomain: number;
    readonly failures: number;
    readonly replacements: number;
    readonly domainOutages: number;
}

/** Returns the host names of a data centre, grouped by fabric domain. */
export function createDomains(options: DayOptions): readonly (readonly string[])[] {
    return [...Array(options.domainsPerDataCentre).keys()].map(domain =>
        [...Array(options.hostsPerDomain).keys()].map(host => `domain-${domain}-host-${host}`)
    );
}

/** Generates the absences of each data centre. The result is deterministic for the same options. */
export function generateAbsences(options: DayOptions): readonly (readonly Absence[])[] {
    const generator = xorshift128plus(options.seed);
    const domains = createDomains(options);
    const days: Absence[][] = [...Array(options.dataCentres).keys()].map(() => []);
    const randomBelow = (below: number) => uniformInt(generator, 0, below - 1);
    const addRandom = (createAbsences: (hosts: readonly string[], host: string, at: number) => readonly Absence[]) => {
        const hosts = domains[randomBelow(domains.length)] as readonly string[];
        const day = days[randomBelow(days.length)] as Absence[];
        day.push(
            ...createAbsences(
                hosts,
                hosts[randomBelow(hosts.length)] as string,
                randomBelow(DAY_SECONDS - NOTICE_SECONDS),
            ),
        );
    };
    [...Array(options.failures).keys()].forEach(() =>
        addRandom((...[, host, at]) => [{ host, from: at, to: at + FAILURE_SECONDS }])
    );
    [...Array(options.replacements).keys()].forEach(() =>
        addRandom((...[, host, at]) => [{
            host,
            noticeAt: at,
            from: at + NOTICE_SECONDS,
            to: at + NOTICE_SECONDS + REPLACEMENT_SECONDS,
        }])
    );
    [...Array(options.domainOutages).keys()].forEach(() =>
        addRandom((...[hosts, , at]) => hosts.map(host => ({ host, from: at, to: at + DOMAIN_OUTAGE_SECONDS })))
    );
    return days;
}
