/** Reads processor time, memory and bytes written of a running process from the proc file system. */
import { readFileSync } from "node:fs";

/** Resource counters of a process at one point in time. */
export interface ProcessSample {
    readonly at: number;
    /** User and system time in seconds. */
    readonly processorSeconds: number;
    readonly memoryMegabytes: number;
    /** Bytes that the process passed to write calls, for sockets and log output. */
    readonly writtenBytes: number;
}

/** Resource use of a process between two samples. */
export interface ProcessUse {
    /** Share of one core, between 0 and the number of cores. */
    readonly cores: number;
    readonly processorSeconds: number;
    readonly writtenBytesPerSecond: number;
}

const CLOCK_TICKS_PER_SECOND = 100;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** Reads the counters of a process. */
export function sampleProcess(pid: number): ProcessSample {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The second field is the program name in parentheses, which may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const [user, system] = [Number(fields[11]), Number(fields[12])];
    const field = (file: string, name: string): number =>
        Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(readFileSync(`/proc/${pid}/${file}`, "utf8"))?.[1] ?? 0);
    return {
        at: performance.now(),
        processorSeconds: (user + system) / CLOCK_TICKS_PER_SECOND,
        memoryMegabytes: field("status", "VmRSS") / KILOBYTES_PER_MEGABYTE,
        writtenBytes: field("io", "wchar"),
    };
}

/** Computes the resource use between two samples. */
export function computeProcessUse(before: ProcessSample, after: ProcessSample): ProcessUse {
    const seconds = (after.at - before.at) / 1_000;
    const processorSeconds = after.processorSeconds - before.processorSeconds;
    return {
        processorSeconds,
        cores: processorSeconds / seconds,
        writtenBytesPerSecond: (after.writtenBytes - before.writtenBytes) / seconds,
    };
}
