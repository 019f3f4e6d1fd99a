/** A day of one data centre: when hosts fail, are replaced, and when fabric domains go dark. Times are in seconds. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";

/** Seconds of a day. */
export const DAY_SECONDS = 86_400;
/** How long the platform lists a host as leaving before it goes. */
export const NOTICE_SECONDS = 120;
const FAILURE_SECONDS = 7_200;
const REPLACEMENT_SECONDS = 1_200;
const DARK_SECONDS = 3_600;

/** One absence of a host: listed as leaving from `noticeAt` if planned, gone from `from` to `to`. */
export interface Absence {
    readonly host: string;
    readonly noticeAt?: number;
    readonly from: number;
    readonly to: number;
}

/** Size of the deployment and what happens to it in a day. */
export interface DayOptions {
    readonly seed: number;
    readonly dataCentres: number;
    readonly domainsPerDataCentre: number;
    readonly hostsPerDomain: number;
    readonly failures: number;
    readonly replacements: number;
    readonly darkDomains: number;
}

/** Names of the hosts of a data centre, by fabric domain. */
export function domainsOf(options: DayOptions): readonly (readonly string[])[] {
    return [...Array(options.domainsPerDataCentre).keys()].map(domain =>
        [...Array(options.hostsPerDomain).keys()].map(host => `domain-${domain}-host-${host}`)
    );
}

/** Draws the absences of each data centre. The same options give the same day. */
export function drawDay(options: DayOptions): readonly (readonly Absence[])[] {
    const generator = xorshift128plus(options.seed);
    const domains = domainsOf(options);
    const days: Absence[][] = [...Array(options.dataCentres).keys()].map(() => []);
    const draw = (below: number) => uniformInt(generator, 0, below - 1);
    const add = (make: (hosts: readonly string[], host: string, at: number) => readonly Absence[]) => {
        const hosts = domains[draw(domains.length)] as readonly string[];
        const day = days[draw(days.length)] as Absence[];
        day.push(...make(hosts, hosts[draw(hosts.length)] as string, draw(DAY_SECONDS - NOTICE_SECONDS)));
    };
    [...Array(options.failures).keys()].forEach(() =>
        add((...[, host, at]) => [{ host, from: at, to: at + FAILURE_SECONDS }])
    );
    [...Array(options.replacements).keys()].forEach(() =>
        add((...[, host, at]) => [{
            host,
            noticeAt: at,
            from: at + NOTICE_SECONDS,
            to: at + NOTICE_SECONDS + REPLACEMENT_SECONDS,
        }])
    );
    [...Array(options.darkDomains).keys()].forEach(() =>
        add((...[hosts, , at]) => hosts.map(host => ({ host, from: at, to: at + DARK_SECONDS })))
    );
    return days;
}
