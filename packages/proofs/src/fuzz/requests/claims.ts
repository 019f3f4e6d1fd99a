/** Fake claims that several daemons share. */
import type { Claims } from "@damaskvale/daemon/dist/ports/claims.js";
import type { Trace } from "../types.js";

/** State of the fake log: with `losing-answers` it stores claims, but its answers are lost. */
export type LogState = "up" | "refusing" | "losing-answers";

/** Claims of all daemons. */
export interface FakeClaims {
    /** Returns the claims port of one daemon. */
    forDaemon(daemon: string): Claims;
    setLogState(state: LogState): void;
    /** Returns the claims that were neither released nor completed. */
    openClaims(): readonly string[];
}

interface HeldClaim {
    readonly claim: string;
    readonly owner: string;
    readonly bodyHash: string;
    completed?: Extract<Awaited<ReturnType<Claims["claim"]>>, { kind: "completed"; }>;
}

const APPEND_MILLISECONDS = 40;
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Creates the claims. Releases while the log is not `up` take effect when it is `up` again. */
export function createFakeClaims(trace: Trace): FakeClaims {
    const keys = new Map<string, HeldClaim>();
    const byClaim = new Map<string, string>();
    let releases: string[] = [];
    let state: LogState = "up";
    let count = 0;

    const release = (claim: string): void => {
        if (state !== "up") {
            releases.push(claim);
            return;
        }
        const key = byClaim.get(claim) ?? "";
        if (keys.get(key)?.claim === claim) {
            trace(`${claim} is released`);
            keys.delete(key);
        }
    };

    const forDaemon = (daemon: string): Claims => ({
        claim: async ({ team, keyHash, bodyHash }) => {
            await new Promise(resolve => setTimeout(resolve, APPEND_MILLISECONDS));
            const unavailable = { kind: "unavailable", retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS } as const;
            if (state === "refusing") {
                return unavailable;
            }
            const key = `${team} ${keyHash}`;
            const known = keys.get(key);
            if (known === undefined) {
                count += 1;
                const claim = `claim-${count}`;
                keys.set(key, { claim, owner: daemon, bodyHash });
                byClaim.set(claim, key);
                trace(`${daemon} holds ${claim}`);
                if (state === "losing-answers") {
                    releases.push(claim);
                    return unavailable;
                }
                return { kind: "held", claim };
            }
            if (state === "losing-answers") {
                return unavailable;
            }
            if (known.bodyHash !== bodyHash) {
                return { kind: "mismatch" };
            }
            return known.completed ?? { kind: "in-progress", owner: known.owner, claimedAt: 0 };
        },
        release,
        record: (claim, outcome, status, answer) => {
            const known = keys.get(byClaim.get(claim) ?? "");
            if (known?.claim === claim) {
                known.completed = { kind: "completed", outcome, status, ...(answer === undefined ? {} : { answer }) };
            }
        },
    });

    return {
        forDaemon,
        openClaims: () => [...keys.values()].flatMap(({ claim, completed }) => completed === undefined ? [claim] : []),
        setLogState: next => {
            state = next;
            if (state === "up") {
                const waiting = releases;
                releases = [];
                waiting.forEach(release);
            }
        },
    };
}
