/** Port to the clocks of the process. Timers are the global ones, so that tests can use fake timers. */

/** Clocks of the process, both in milliseconds. */
export interface Clock {
    /** Monotonic time with an arbitrary origin; never decreases. */
    monotonic(): number;
    /** Wall-clock time since the Unix epoch. */
    wall(): number;
}
