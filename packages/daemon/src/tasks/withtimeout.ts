/** Timeout for promises. */

/** A promise was not settled in time. */
export class TimeoutError extends Error {
    constructor(readonly milliseconds: number) {
        super(`There was no answer within ${milliseconds} ms.`);
        this.name = "TimeoutError";
    }
}

/**
 * Settles like the promise, or rejects with a `TimeoutError`. Some clients reject an aborted call only when their attempt
 * to connect has ended, which takes longer than the caller can wait.
 */
export async function withTimeout<Value>(promise: Promise<Value>, milliseconds: number): Promise<Value> {
    let timer: NodeJS.Timeout | undefined;
    const expired = new Promise<never>((...[, reject]) => {
        timer = setTimeout(() => reject(new TimeoutError(milliseconds)), milliseconds);
    });
    try {
        return await Promise.race([promise, expired]);
    }
    finally {
        clearTimeout(timer);
    }
}
