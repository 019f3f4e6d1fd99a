/** Queue of bounded length for requests that wait in a daemon. */

/** What the order of the queue depends on. */
export interface QueuedRequestOrder {
    readonly priority: number;
    /** Last time at which the request may begin. */
    readonly endsAt: number;
}

/** Waiting requests: the most urgent first, and among those of one priority the one that must begin first. */
export interface AdmissionQueue<T extends QueuedRequestOrder> {
    /** Adds a request; returns the last one if the queue was full, which may be the added one. */
    add(request: T): T | undefined;
    /** Removes a request; returns whether it waited. */
    remove(request: T): boolean;
    /** Returns the waiting requests in order. */
    waiting(): readonly T[];
}

/** Creates an empty queue that holds at most `bound` requests. */
export function createAdmissionQueue<T extends QueuedRequestOrder>(bound: number): AdmissionQueue<T> {
    const requests: T[] = [];
    const isBefore = (left: T, right: T): boolean =>
        left.priority < right.priority || (left.priority === right.priority && left.endsAt < right.endsAt);
    return {
        add: request => {
            const index = requests.findIndex(other => isBefore(request, other));
            requests.splice(index < 0 ? requests.length : index, 0, request);
            return requests.length > bound ? requests.pop() : undefined;
        },
        remove: request => {
            const index = requests.indexOf(request);
            if (index >= 0) {
                requests.splice(index, 1);
            }
            return index >= 0;
        },
        waiting: () => [...requests],
    };
}
