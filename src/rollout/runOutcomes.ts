/** What one measure of a comparison makes of an owner's counts: failures, lost connections, durations. */
import { classUpperBoundMs, countFrom, DURATION_CLASSES, type RouteCounts } from './runCounts.js';
import type { Outcomes } from './sequentialTest.js';

/** The bound of durations is the class above which at most this share of the others' lie, ... */
const SLOW_SHARE = 0.1;

/** ... and so many classes above that: a class is as long again by two fifths. */
const SLOW_CLASSES_ABOVE = 1;

/** So few of the others' requests take longer than those that their end is waited for. */
const LONG_SHARE = 0.005;

/** Durations of the others on a route that are needed for a bound. */
const MIN_DURATIONS = 30;

/** Requests that were answered, and those of them that failed. */
export function failuresOf(counts: readonly RouteCounts[]): Outcomes {
  return counts.reduce(
    (sum, { answered, failed }) => ({
      total: sum.total + answered + failed,
      bad: sum.bad + failed,
    }),
    { total: 0, bad: 0 },
  );
}

/** Requests that ended, and lost connections among them. */
export function crashesOf(counts: readonly RouteCounts[]): Outcomes {
  return counts.reduce(
    (sum, { answered, failed, crashes }) => ({
      total: sum.total + answered + failed + crashes,
      bad: sum.bad + crashes,
    }),
    { total: 0, bad: 0 },
  );
}

/** What was cut off before the bound tells nothing. */
export function slowOf(counts: readonly RouteCounts[], bound: number): Outcomes {
  return counts.reduce(
    (sum, { durations, cancellations }) => {
      const slow = countFrom(durations, bound) + countFrom(cancellations, bound);
      return {
        total: sum.total + countFrom(durations, 0) + countFrom(cancellations, bound),
        bad: sum.bad + slow,
      };
    },
    { total: 0, bad: 0 },
  );
}

/** The end of the class above which hardly any duration lies, of all routes together. */
export function nearMaxDurationMs(routes: readonly (readonly number[])[]): number {
  const classes = Array.from({ length: DURATION_CLASSES }, (_, place) =>
    routes.reduce((sum, durations) => sum + (durations[place] ?? 0), 0),
  );
  const total = countFrom(classes, 0);
  const last = classes.findIndex((_, place) => countFrom(classes, place + 1) <= total * LONG_SHARE);
  return total === 0 ? 0 : classUpperBoundMs(last);
}

/** The first class that counts as slow; undefined while too little is known. */
export function slowThresholdOf(durations: readonly number[]): number | undefined {
  const total = countFrom(durations, 0);
  if (total < MIN_DURATIONS) {
    return undefined;
  }
  let place = 0;
  while (countFrom(durations, place) > total * SLOW_SHARE) {
    place += 1;
  }
  return place + SLOW_CLASSES_ABOVE;
}
