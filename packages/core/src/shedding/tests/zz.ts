import { playFleet } from "./playedfleet.js";
import { shortLoads, usualLoad } from "./playedloads.js";
import * as policies from "./playedpolicies.js";
for (const load of [usualLoad, ...shortLoads]) {
    console.log(load.name);
    for (const [name, policy] of Object.entries(policies)) {
        const started = Date.now();
        const { all, byPriority } = playFleet(load, policy as never, 1);
        const f = (s: typeof all | undefined): string => s === undefined ? "" : `${(100 * s.inTime).toFixed(1)}/${(100 * s.late).toFixed(1)}/${(100 * s.refused).toFixed(1)}`;
        console.log(`  ${name.padEnd(22)} value ${all.value.toFixed(3)} all ${f(all)} big ${all.largestTenth.toFixed(2)} held ${all.heldTooLong.toFixed(3)} | ${[...byPriority].map(([p, s]) => `p${p} ${f(s)} b${s.largestTenth.toFixed(2)}`).join(" | ")} ${Date.now() - started}ms`);
    }
}
