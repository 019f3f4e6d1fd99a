/** Mailbox of a task: handles messages one after another through a lookup table of handlers. */

/** Message of a task, identified by its kind. */
export interface TaskMessage {
    readonly kind: string;
}

/** Handlers of a task, one for each kind of message. */
export type Handlers<Message extends TaskMessage> = {
    readonly [Kind in Message["kind"]]: (message: Extract<Message, { kind: Kind; }>) => void | Promise<void>;
};

/** Mailbox of a task. */
export interface Mailbox<Message extends TaskMessage> {
    post(message: Message): void;
    /** Stops after the message in progress and drops the rest; resolves when the task is idle. */
    close(): Promise<void>;
}

/** Creates a mailbox. An error of a handler is passed to `onError` and does not stop the task. */
export function createMailbox<Message extends TaskMessage>(
    handlers: Handlers<Message>,
    onError: (error: unknown, kind: Message["kind"]) => void,
): Mailbox<Message> {
    const queue: Message[] = [];
    let running: Promise<void> | undefined;
    let closed = false;

    const handle = async (message: Message): Promise<void> => {
        const handler = handlers[message.kind as Message["kind"]] as (message: Message) => void | Promise<void>;
        try {
            await handler(message);
        }
        catch (error) {
            onError(error, message.kind);
        }
    };

    const run = async (): Promise<void> => {
        for (let message = queue.shift(); message !== undefined && !closed; message = queue.shift()) {
            await handle(message);
        }
        running = undefined;
    };

    return {
        post: message => {
            if (closed) {
                return;
            }
            queue.push(message);
            running ??= Promise.resolve().then(run);
        },
        close: async () => {
            closed = true;
            await running;
        },
    };
}
