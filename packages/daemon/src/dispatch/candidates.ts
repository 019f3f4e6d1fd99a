/** Candidate targets of a request, with the weights and limits that the configuration table gives them. */
import type { Candidate, RowOf } from "@damaskvale/core";
import type { DispatchableGroup } from "../ports/groupview.js";
import type { TableView } from "../ports/tableview.js";
import type { RuleLimits } from "./rulelimits.js";

/** Candidates for the router, and the target and the rule that belong to each. */
export interface Candidates<Target> {
    readonly candidates: readonly Candidate[];
    readonly targets: ReadonlyMap<string, { readonly target: Target; readonly rule?: RowOf<"rule">; }>;
    /** Whether the limit of a rule excluded at least one target. */
    readonly limitedByRule: boolean;
}

/** Returns the groups of a model as candidates for a team. Groups with a draining member are left out. */
export function groupCandidates(
    view: TableView,
    limits: RuleLimits,
    team: string,
    groups: readonly DispatchableGroup[],
    now: number,
): Candidates<DispatchableGroup> {
    return applyRuleLimits(
        limits,
        now,
        groups.filter(group => !isDraining(view, group.members)).map(group => {
            const rule = view.rule(group.model, team, group.leader);
            const rows = group.members.flatMap(member => view.target(member) ?? []);
            const concurrencies = rows.flatMap(row => row.concurrency ?? []);
            return {
                target: group,
                rule,
                candidate: {
                    target: group.group,
                    weight: Math.min(
                        ...rows.map(({ weight }) => weight),
                        rows.length < group.members.length ? 1 : Infinity,
                    )
                        * (rule?.weight ?? 1),
                    ...(concurrencies.length === 0 ? {} : { concurrency: Math.min(...concurrencies) }),
                    ...(group.load === undefined ? {} : { load: group.load }),
                    readySince: group.readySince,
                },
            };
        }),
    );
}

/** Returns the URLs of a service as candidates, or no candidates while the service is draining. */
export function serviceCandidates(
    view: TableView,
    limits: RuleLimits,
    team: string,
    service: RowOf<"service">,
    now: number,
): Candidates<string> {
    const row = view.target(service.name);
    const rule = view.rule("*", team, service.name);
    const urls = row?.state === "draining" ? [] : service.urls;
    return applyRuleLimits(
        limits,
        now,
        urls.map(url => ({
            target: url,
            rule,
            candidate: {
                target: url,
                weight: (row?.weight ?? 1) * (rule?.weight ?? 1),
                ...(service.concurrency === undefined
                    ? {}
                    : { concurrency: Math.max(1, Math.ceil(service.concurrency / service.urls.length)) }),
                readySince: -Infinity,
            },
        })),
    );
}

function isDraining(view: TableView, hosts: readonly string[]): boolean {
    return hosts.some(host => view.target(host)?.state === "draining");
}

function applyRuleLimits<Target>(
    limits: RuleLimits,
    now: number,
    found: readonly { target: Target; rule?: RowOf<"rule">; candidate: Candidate; }[],
): Candidates<Target> {
    const allowed = found.filter(({ rule }) => limits.allows(rule, now));
    return {
        candidates: allowed.map(({ candidate }) => candidate),
        targets: new Map(allowed.map(({ candidate, target, rule }) => [candidate.target, { target, rule }])),
        limitedByRule: allowed.length < found.length,
    };
}
