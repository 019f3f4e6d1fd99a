/** Tracks the load and the progress of the targets to which this daemon sends requests. */

/** Load and progress of one target. Times are monotonic milliseconds. */
export interface TargetLoad {
    /** Number of requests that this daemon has sent and that have not ended. */
    readonly inProgress: number;
    /** Number of these requests without a first event. */
    readonly awaitingFirstEvent: number;
    /** Prompt tokens of the requests without a first event, which the target may still have to process. */
    readonly pendingPromptTokens: number;
    /** When bytes of a response last arrived, or when the first request in progress was sent if none arrived since. */
    readonly lastProgressAt: number;
    /** When the target was last suspected of making no progress; absent unless it is suspected. */
    readonly suspectedAt?: number;
    /** Group whose head the target was when it was suspected. */
    readonly suspectedInGroup?: string;
    /** Whether the requests are streams, whose progress is visible between the first and the last byte. */
    readonly streams: boolean;
}

/** Load by target. Times are monotonic milliseconds. */
export interface LoadTracker {
    /** Returns the load of a target, or `undefined` if it has no requests in progress and is not suspected. */
    get(target: string): TargetLoad | undefined;
    /** Records that a request is sent. */
    sent(target: string, work: { readonly promptTokens: number; readonly stream: boolean; }, now: number): void;
    /** Records the first event of a request. */
    started(target: string, promptTokens: number, now: number): void;
    /** Records that bytes of a response arrived. */
    progressed(target: string, now: number): void;
    /** Records that a request ended; `started` is whether its first event had arrived. */
    ended(target: string, promptTokens: number, started: boolean): void;
    /** Suspects a target, as the head of a group, of making no progress or being unusable. */
    suspect(target: string, now: number, group?: string): void;
    /** Ends the suspicion of a target. */
    clear(target: string): void;
    /** Returns the targets that have requests in progress or are suspected. */
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

/** Takes one request off those without a first event. */
function startRequest(load: MutableLoad, promptTokens: number): void {
    load.awaitingFirstEvent = Math.max(0, load.awaitingFirstEvent - 1);
    load.pendingPromptTokens = Math.max(0, load.pendingPromptTokens - promptTokens);
}

/** Creates an empty tracker. */
export function createLoadTracker(): LoadTracker {
    const loads = new Map<string, MutableLoad>();

    const loadOf = (target: string, now: number): MutableLoad => {
        const load = loads.get(target)
            ?? { inProgress: 0, awaitingFirstEvent: 0, pendingPromptTokens: 0, lastProgressAt: now, streams: false };
        loads.set(target, load);
        return load;
    };

    const dropIfUnused = (target: string, { inProgress, suspectedAt }: MutableLoad): void => {
        if (inProgress === 0 && suspectedAt === undefined) {
            loads.delete(target);
        }
    };
    const recordProgress = (target: string, load: MutableLoad, now: number): void => {
        load.lastProgressAt = now;
        load.suspectedAt = undefined;
        dropIfUnused(target, load);
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
            const load = loads.get(target);
            if (load === undefined) {
                return;
            }
            startRequest(load, promptTokens);
            recordProgress(target, load, now);
        },
        progressed: (target, now) => {
            const load = loads.get(target);
            if (load !== undefined) {
                recordProgress(target, load, now);
            }
        },
        ended: (target, promptTokens, started) => {
            const load = loads.get(target);
            if (load === undefined) {
                return;
            }
            load.inProgress = Math.max(0, load.inProgress - 1);
            if (!started) {
                startRequest(load, promptTokens);
            }
            dropIfUnused(target, load);
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
                dropIfUnused(target, load);
            }
        },
        targets: () => [...loads.keys()],
    };
}
