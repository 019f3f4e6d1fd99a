/** In-memory append-only log with offsets, retention by count and age, an append rate limit and long polling. */

/** Entry of a stream; `time` is the append time in wall clock milliseconds. */
export interface LogEntry {
    readonly offset: number;
    readonly time: number;
    readonly value: unknown;
}

/** Page of a stream, with the range of offsets that the stream retains. */
export interface LogPage {
    readonly firstOffset: number;
    readonly nextOffset: number;
    readonly entries: readonly LogEntry[];
}

/** Retention and rate limit of the log. */
export interface LogOptions {
    readonly retentionCount: number;
    readonly retentionMilliseconds: number;
    readonly appendsPerSecond: number;
}

interface Stream {
    firstOffset: number;
    entries: LogEntry[];
    waiting: Set<() => void>;
}

/** Append-only log. */
export interface Log {
    /** Takes one token from the append rate limit. Returns 0, or the milliseconds until a token is available. */
    admit(now: number): number;
    append(stream: string, value: unknown, now: number): number;
    read(stream: string, from: number, limit: number, now: number): LogPage;
    /** Resolves at the next append to the stream, after `milliseconds`, or when `wakeAll` is called. */
    wait(stream: string, milliseconds: number): Promise<void>;
    /** Resolves all pending waits. */
    wakeAll(): void;
    /** Drops all but the newest `keep` entries of every stream. */
    cut(keep: number): void;
}

/** Creates an empty log. */
export function createLog(options: LogOptions): Log {
    const streams = new Map<string, Stream>();
    let tokens = options.appendsPerSecond;
    let lastRefillAt = 0;

    const getOrCreateStream = (name: string): Stream => {
        const found = streams.get(name) ?? { firstOffset: 0, entries: [], waiting: new Set() };
        streams.set(name, found);
        return found;
    };

    return {
        admit: now => {
            tokens = Math.min(
                options.appendsPerSecond,
                tokens + (now - lastRefillAt) / 1000 * options.appendsPerSecond,
            );
            lastRefillAt = now;
            if (tokens < 1) {
                return Math.ceil((1 - tokens) / options.appendsPerSecond * 1000);
            }
            tokens -= 1;
            return 0;
        },
        append: (name, value, now) => {
            const stream = getOrCreateStream(name);
            const offset = stream.firstOffset + stream.entries.length;
            stream.entries.push({ offset, time: now, value });
            applyRetention(stream, options, now);
            wakeReaders(stream);
            return offset;
        },
        read: (name, from, limit, now) => {
            const stream = getOrCreateStream(name);
            applyRetention(stream, options, now);
            const start = Math.max(0, from - stream.firstOffset);
            return {
                firstOffset: stream.firstOffset,
                nextOffset: stream.firstOffset + stream.entries.length,
                entries: stream.entries.slice(start, start + limit),
            };
        },
        wait: (name, milliseconds) =>
            new Promise(resolve => {
                const stream = getOrCreateStream(name);
                const done = (): void => {
                    clearTimeout(timer);
                    stream.waiting.delete(done);
                    resolve();
                };
                const timer = setTimeout(done, milliseconds);
                stream.waiting.add(done);
            }),
        wakeAll: () => streams.forEach(wakeReaders),
        cut: keep => streams.forEach(stream => keepNewest(stream, keep)),
    };
}

function keepNewest(stream: Stream, keep: number): void {
    const drop = Math.max(0, stream.entries.length - keep);
    if (drop > 0) {
        stream.entries = stream.entries.slice(drop);
        stream.firstOffset += drop;
    }
}

function applyRetention(stream: Stream, options: LogOptions, now: number): void {
    // Trimming only above 110 % of the limit avoids copying the array on every append.
    if (stream.entries.length > options.retentionCount * 1.1) {
        keepNewest(stream, options.retentionCount);
    }
    const oldest = stream.entries[0];
    if (oldest !== undefined && now - oldest.time > options.retentionMilliseconds) {
        keepNewest(stream, stream.entries.filter(({ time }) => now - time <= options.retentionMilliseconds).length);
    }
}

function wakeReaders(stream: Stream): void {
    const waiting = [...stream.waiting];
    stream.waiting.clear();
    waiting.forEach(resume => resume());
}
