/** Queue between callbacks and one consumer that waits with a time limit. */

/** Queue of events. */
export interface EventQueue<Event> {
    push(event: Event): void;
    /** Next event, or `undefined` once the time has passed without one. */
    next(timeoutMilliseconds: number): Promise<Event | undefined>;
    size(): number;
}

/** Makes a queue for one consumer. */
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
