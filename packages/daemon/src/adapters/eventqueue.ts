/** Queue that passes events from callbacks to one consumer, which waits with a timeout. */

/** Queue of events for one consumer. */
export interface EventQueue<Event> {
    push(event: Event): void;
    /** Resolves with the next event, or with `undefined` after the timeout. */
    next(timeoutMilliseconds: number): Promise<Event | undefined>;
    size(): number;
}

/** Creates an empty queue. */
export function createEventQueue<Event>(): EventQueue<Event> {
    const events: Event[] = [];
    let wake: (() => void) | undefined;

    return {
        push: event => {
            events.push(event);
            wake?.();
        },
        next: timeoutMilliseconds => {
            if (events.length > 0) {
                return Promise.resolve(events.shift());
            }
            return new Promise(resolve => {
                const finish = (): void => {
                    clearTimeout(timer);
                    wake = undefined;
                    resolve(events.shift());
                };
                const timer = setTimeout(finish, timeoutMilliseconds);
                wake = finish;
            });
        },
        size: () => events.length,
    };
}
