/** What a daemon knows of the load and the progress of the targets to which it sends requests. */

/** Load and progress of one target. Times are monotonic milliseconds. */
export interface TargetLoad {
    /** Requests that this daemon has sent and that have not ended. */
    readonly inProgress: number;
    /** Of these, the ones without a first event. */
    readonly awaitingFirstEvent: number;
    /** Prompt tokens of the requests without a first event. */
    readonly pendingPromptTokens: number;
    /** When the last bytes of any request arrived, or the oldest request in progress was sent if none did. */
    readonly lastProgressAt: number;
    /** When the target last failed to make progress; absent after progress. */
    readonly suspectedAt?: number;
    /** Group as whose head the target is suspected. */
    readonly suspectedInGroup?: string;
    /** Whether the requests are streams, whose progress shows between their first and last byte. */
    readonly streams: boolean;
}

/** Requests in progress by target, kept by the daemon that sends them. */
export interface LoadTracker {
    get(target: string): TargetLoad | undefined;
    /** Notes a request that is sent. */
    sent(target: string, work: { readonly promptTokens: number; readonly stream: boolean; }, now: number): void;
    /** Notes the first event of a request. */
    started(target: string, promptTokens: number, now: number): void;
    /** Notes any bytes of a request. */
    progressed(target: string, now: number): void;
    /** Notes that a request ended; `started` tells whether its first event had arrived. */
    ended(target: string, promptTokens: number, started: boolean): void;
    /** Notes that a target, as the head of a group, makes no progress or cannot be used. */
    suspect(target: string, now: number, group?: string): void;
    /** Ends the suspicion of a target. */
    clear(target: string): void;
    /** Targets that have requests in progress or are suspected. */
    targets(): readonly string[];
}

interface MutableLoad {
    inProgress: number;
    awaitingFirstEvent: number;
    pendingPromptTokens: number;
    lastProgressAt: number;
    suspectedAt?: number;
    suspectedInGroup?: string;
    streams: boolean;
}

/** Makes an empty board. */
export function createLoadTracker(): LoadTracker {
    const loads = new Map<string, MutableLoad>();

    const loadOf = (target: string, now: number): MutableLoad => {
        const load = loads.get(target)
            ?? { inProgress: 0, awaitingFirstEvent: 0, pendingPromptTokens: 0, lastProgressAt: now, streams: false };
        loads.set(target, load);
        return load;
    };

    return {
        get: target => loads.get(target),
        sent: (target, { promptTokens, stream }, now) => {
            const load = loadOf(target, now);
            load.streams = stream;
            if (load.inProgress === 0) {
                load.lastProgressAt = now;
            }
            load.inProgress += 1;
            load.awaitingFirstEvent += 1;
            load.pendingPromptTokens += promptTokens;
        },
        started: (target, promptTokens, now) => {
            const load = loadOf(target, now);
            load.awaitingFirstEvent -= 1;
            load.pendingPromptTokens -= promptTokens;
            load.lastProgressAt = now;
            load.suspectedAt = undefined;
        },
        progressed: (target, now) => {
            const load = loadOf(target, now);
            load.lastProgressAt = now;
            load.suspectedAt = undefined;
        },
        ended: (target, promptTokens, started) => {
            const load = loads.get(target);
            if (load === undefined) {
                return;
            }
            load.inProgress -= 1;
            if (!started) {
                load.awaitingFirstEvent -= 1;
                load.pendingPromptTokens -= promptTokens;
            }
            if (load.inProgress <= 0 && load.suspectedAt === undefined) {
                loads.delete(target);
            }
        },
        suspect: (target, now, group) => {
            const load = loadOf(target, now);
            load.suspectedAt = now;
            load.suspectedInGroup = group;
        },
        clear: target => {
            const load = loads.get(target);
            if (load !== undefined) {
                load.suspectedAt = undefined;
            }
            if (load !== undefined && load.inProgress <= 0) {
                loads.delete(target);
            }
        },
        targets: () => [...loads.keys()],
    };
}
