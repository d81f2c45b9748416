/**
 * Derives the outcomes for each measure of a comparison from counts: failures, crashes, durations.
 */
import { classUpperBoundMs, countFrom, DURATION_CLASSES, type RouteCounts } from './runCounts.js';
import type { Outcomes } from './sequentialTest.js';

/**
 * The slow threshold starts from the first duration class that at most this share of the others
 * reach.
 */
const SLOW_SHARE = 0.1;

/** Classes added to the slow threshold; a class is longer than the one below it by two fifths. */
const SLOW_CLASSES_ABOVE = 1;

/**
 * Share of the others' requests that may take longer than the time within which their requests are
 * expected to end.
 */
const LONG_SHARE = 0.005;

/** Number of the others' durations on a route that a slow threshold needs. */
const MIN_DURATIONS = 30;

/** Requests that were answered or failed, and those that failed. */
export function failuresOf(counts: readonly RouteCounts[]): Outcomes {
  return counts.reduce(
    (sum, { answered, failed }) => ({
      total: sum.total + answered + failed,
      bad: sum.bad + failed,
    }),
    { total: 0, bad: 0 },
  );
}

/** Requests that were answered, failed or lost their connection, and the crashes among them. */
export function crashesOf(counts: readonly RouteCounts[]): Outcomes {
  return counts.reduce(
    (sum, { answered, failed, crashes }) => ({
      total: sum.total + answered + failed + crashes,
      bad: sum.bad + crashes,
    }),
    { total: 0, bad: 0 },
  );
}

/**
 * Requests with a duration, and those from class `threshold` up. Requests cancelled below the
 * threshold do not count, as their duration is unknown.
 */
export function slowOf(counts: readonly RouteCounts[], threshold: number): Outcomes {
  return counts.reduce(
    (sum, { durations, cancellations }) => {
      const slow = countFrom(durations, threshold) + countFrom(cancellations, threshold);
      return {
        total: sum.total + countFrom(durations, 0) + countFrom(cancellations, threshold),
        bad: sum.bad + slow,
      };
    },
    { total: 0, bad: 0 },
  );
}

/** Upper bound in milliseconds of nearly all durations, over all routes; 0 without durations. */
export function nearMaxDurationMs(routes: readonly (readonly number[])[]): number {
  const classes = Array.from({ length: DURATION_CLASSES }, (_, place) =>
    routes.reduce((sum, durations) => sum + (durations[place] ?? 0), 0),
  );
  const total = countFrom(classes, 0);
  const last = classes.findIndex((_, place) => countFrom(classes, place + 1) <= total * LONG_SHARE);
  return total === 0 ? 0 : classUpperBoundMs(last);
}

/** The first class that counts as slow; undefined with fewer than MIN_DURATIONS durations. */
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
