/** Exit codes of the command line, documented in `docs/OPERATIONS.md`. */

/** Exit codes by what happened. */
export const exitCodes = {
    done: 0,
    failure: 1,
    findings: 2,
    lostRace: 3,
    unreachable: 4,
} as const;

/** Exit code of the command line. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
