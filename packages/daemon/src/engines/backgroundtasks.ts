/** Runs tasks in the background, and calls back once for those that finish together. */
import type { EventLog } from "../ports/eventlog.js";

/** Tasks of one owner. */
export interface BackgroundTasks {
    /** Runs a task; an error that it throws is logged. */
    run(task: Promise<void>): void;
    /** Stops calling back. */
    stop(): void;
}

/** Collaborators of {@link createBackgroundTasks}. */
export interface BackgroundTasksParts {
    readonly log: EventLog;
    /** Name of the owner in the log. */
    readonly owner: string;
    /** Called after tasks have finished. */
    readonly onFinished: () => void;
    /** Time for which tasks that finish are collected. */
    readonly delayMilliseconds: number;
}

/** Creates the tasks, without any. */
export function createBackgroundTasks(
    { log, owner, onFinished, delayMilliseconds }: BackgroundTasksParts,
): BackgroundTasks {
    let isScheduled = false;
    let isStopped = false;
    const schedule = (): void => {
        if (isScheduled || isStopped) {
            return;
        }
        isScheduled = true;
        setTimeout(() => {
            isScheduled = false;
            onFinished();
        }, delayMilliseconds);
    };
    return {
        run: task => {
            task.then(schedule).catch((error: unknown) => log.emit("taskFailed", { task: owner, error }));
        },
        stop: () => {
            isStopped = true;
        },
    };
}
