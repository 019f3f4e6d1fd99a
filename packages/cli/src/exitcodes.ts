/** Exit codes of the command-line interface, documented in `docs/OPERATIONS.md`. */

/** Exit codes by result. */
export const exitCodes = {
    done: 0,
    failure: 1,
    invalidInput: 2,
    editConflict: 3,
    unreachable: 4,
} as const;

/** Exit code of the command-line interface. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
