/** A value that one task publishes and others read. */

/** Read side: the newest value and subscriptions to its changes. */
export interface Published<Value> {
    current(): Value;
    /** Calls the listener on each change; returns a function that unsubscribes it. */
    subscribe(listener: (value: Value) => void): () => void;
}

/** Write side, kept by the task that owns the value. */
export interface Publisher<Value> extends Published<Value> {
    publish(value: Value): void;
}

/** Creates a published value. */
export function createPublished<Value>(initial: Value): Publisher<Value> {
    const listeners = new Set<(value: Value) => void>();
    let value = initial;
    return {
        current: () => value,
        subscribe: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        publish: next => {
            value = next;
            [...listeners].forEach(listener => listener(next));
        },
    };
}
