/** The steady clock: the only clock for durations, ages and deadlines. It never jumps. */

/** Reads a steady time in milliseconds; its zero is arbitrary. */
export interface Clock {
  now(): number;
}

/** The steady clock of this process. */
export const monotonicClock: Clock = { now: () => performance.now() };
