/**
 * The interface of the clocks for durations, ages and deadlines, and the steady clock of the
 * process, which never jumps. The clocks of `nodeClocks.ts` also count the time of a suspension.
 */

/** Returns a steady time in milliseconds, from an arbitrary starting point. */
export interface Clock {
  now(): number;
}

/** The steady clock of this process. */
export const monotonicClock: Clock = { now: () => performance.now() };
