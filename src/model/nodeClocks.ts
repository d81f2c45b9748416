/**
 * The clocks of a node whose machine may be suspended. The steady clock does not count that time: after
 * it, what was believed before seems fresh, and what has passed seems to lie ahead.
 */
import { uptime } from 'node:os';
import type { Clock } from './clock.js';

/** Where time is read from, in milliseconds; each has a zero of its own. */
export interface ClockSources {
  /** Never jumps, and stands still while the machine is suspended. */
  readonly steady: () => number;
  /** Counts a suspension, and jumps when it is set. */
  readonly timeOfDay: () => number;
  /** Counts a suspension and never jumps, unless the system tells another machine's. */
  readonly sinceBoot: () => number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Those of this process. */
export const SYSTEM_CLOCK_SOURCES: ClockSources = {
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MILLISECONDS_PER_SECOND,
};

/** One set for each node. */
export interface NodeClocks {
  /** For deadlines: what has passed for certain. */
  readonly clock: Clock;
  /** For what is only believed: what may have passed. Never behind {@link clock}. */
  readonly beliefClock: Clock;
  /** Calls the listener, with the milliseconds that were slept, when {@link clock} has jumped. */
  onWake(listener: (sleptMs: number) => void): void;
}

export function createNodeClocks(sources: ClockSources = SYSTEM_CLOCK_SOURCES): NodeClocks {
  const clock = { now: sources.steady };
  return { clock, beliefClock: clock, onWake: () => {} };
}
