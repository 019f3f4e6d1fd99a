/** Identity of a process of a target, to which everything that the target states of itself belongs. */

/** A process of a target. */
export interface StatedProcess {
    readonly target: string;
    /** Start time of the process in Unix milliseconds, if known. */
    readonly startedAt?: number;
}

/** Statement of a process that it leaves, as daemons report it. */
export interface LeavingStatement extends StatedProcess {
    /** When a daemon first received it, in monotonic milliseconds of this daemon. */
    readonly statedAt: number;
}

/** Returns whether a process certainly started before another one of the same target. */
export function isFromEarlierProcess(
    left: Pick<StatedProcess, "startedAt">,
    right: Pick<StatedProcess, "startedAt">,
): boolean {
    return left.startedAt !== undefined && right.startedAt !== undefined && left.startedAt < right.startedAt;
}
