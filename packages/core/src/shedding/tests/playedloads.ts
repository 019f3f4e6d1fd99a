/** Loads of the ticketing deployment (docs/hard-load.md, section 1) and what can make its capacity short. */
import type { PlayedKind, PlayedLoad } from "./playedfleet.js";

const DISTURBED_FROM_SECONDS = 5;
/** Requests are counted from the disturbance until the callers that it refused have returned. */
const COUNTED_UNTIL_SECONDS = 14;
/** With so many groups of 14 slots, the usual load fills about six slots in ten. */
const GROUPS = 40;

/** Streams with their usual rates; `factor` changes the rate of one priority for a time. */
function kinds(priority: number, factor: number, seconds: number): PlayedKind[] {
    const usual: readonly (readonly [number, number, number])[] = [[0, 251, 311], [1, 502, 15.9], [2, 1_002, 14]];
    return usual.map(([kind, objectiveMilliseconds, perSecond]) => ({
        priority: kind,
        objectiveMilliseconds,
        perSecond: at => {
            const isDisturbed = at >= DISTURBED_FROM_SECONDS && at < DISTURBED_FROM_SECONDS + seconds;
            return kind === priority && isDisturbed ? factor * perSecond : perSecond;
        },
    }));
}

function playedLoad(
    name: string,
    load: Pick<PlayedLoad, "kinds" | "loss"> & { readonly groups?: number; },
): PlayedLoad {
    return {
        name,
        groups: GROUPS,
        countedFromSeconds: DISTURBED_FROM_SECONDS,
        countedUntilSeconds: COUNTED_UNTIL_SECONDS,
        ...load,
    };
}

/** The usual load, with which nothing should be refused. */
export const usualLoad = playedLoad("usual load", { kinds: kinds(0, 1, 0) });

/** Steady load that fills three slots in four. */
export const heavyLoad = playedLoad("heavy load without a disturbance", { kinds: kinds(0, 1, 0), groups: 33 });

/** Loads that exceed the capacity. */
export const shortLoads: readonly PlayedLoad[] = [
    playedLoad("burst of 1.7 for 4 s", { kinds: kinds(0, 1.7, 4) }),
    playedLoad("burst of 2 for 4 s", { kinds: kinds(0, 2, 4) }),
    playedLoad("burst of 2.5 for 4 s", { kinds: kinds(0, 2.5, 4) }),
    playedLoad("a third of the groups is lost", {
        kinds: kinds(0, 1, 0),
        groups: 34,
        loss: { share: 1 / 3, atSeconds: DISTURBED_FROM_SECONDS },
    }),
    playedLoad("priority 2 alone in excess for 4 s", { kinds: kinds(2, 24, 4) }),
];
