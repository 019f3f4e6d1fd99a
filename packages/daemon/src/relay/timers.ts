/** Timers whose delays come from callers or the configuration. */

/** Longest delay that Node's timers accept; they end at once after a longer one. */
export const MAXIMUM_TIMER_MILLISECONDS = 2_147_483_647;

/** Starts a timer; a delay out of the range of timers counts as the nearest one in it. */
export function startTimer(action: () => void, milliseconds: number): NodeJS.Timeout {
    return setTimeout(action, Math.min(Math.max(0, milliseconds), MAXIMUM_TIMER_MILLISECONDS));
}
