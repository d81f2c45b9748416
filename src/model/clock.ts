/** The steady clock, which never jumps. Durations, ages and deadlines use no other clock. */

/** Returns a steady time in milliseconds, from an arbitrary starting point. */
export interface Clock {
  now(): number;
}

/** The steady clock of this process. */
export const monotonicClock: Clock = { now: () => performance.now() };
