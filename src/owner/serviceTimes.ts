/**
 * Predicts how long a back end takes for a task, by route. Two predictions are kept: the moving
 * average of the times that tasks took, and the moving average of their times at usual speed,
 * multiplied by the slowness that the back end reports. The prediction with the smaller recent
 * error is used. So if a back end reports no slowness, or a false one, the owner's own measurements
 * decide.
 */

/** Weight of the newest task in the moving averages. */
const WEIGHT = 0.1;

/** Assumed time of a task, in milliseconds, until one has ended. */
const INITIAL_MS = 20;

interface Averages {
  /** Milliseconds that tasks took. */
  plainMs: number;
  /** Milliseconds that tasks would have taken at usual speed. */
  usualMs: number;
}

export interface ServiceTimes {
  /** Milliseconds that a task of a route is expected to take now. */
  expectedMs(route: string): number;
  /** Expected milliseconds over all routes. Undefined until a task has ended. */
  readonly meanMs: number | undefined;
  /** Expected milliseconds over all routes, or the assumed time until a task has ended. */
  readonly overallMs: number;
  /** Records the milliseconds that a task took and the slowness that was reported meanwhile. */
  note(route: string, tookMs: number, slowness: number): void;
}

/** `slowness` returns how long work takes now, as a multiple of the usual time. */
export function createServiceTimes(slowness: () => number = () => 1): ServiceTimes {
  const routes = new Map<string, Averages>();
  let overall: Averages | undefined;
  let plainError = 0;
  let slownessError = 0;

  const expected = (averages: Averages | undefined): number => {
    if (!averages) {
      return INITIAL_MS;
    }
    return slownessError < plainError ? averages.usualMs * slowness() : averages.plainMs;
  };

  const noteErrors = (
    { plainMs, usualMs }: Averages,
    tookMs: number,
    reportedSlowness: number,
  ): void => {
    plainError += (errorOf(plainMs, tookMs) - plainError) * WEIGHT;
    slownessError += (errorOf(usualMs * reportedSlowness, tookMs) - slownessError) * WEIGHT;
  };

  return {
    expectedMs: (route) => expected(routes.get(route) ?? overall),
    get meanMs() {
      return overall && expected(overall);
    },
    get overallMs() {
      return expected(overall);
    },
    note: (route, tookMs, reportedSlowness) => {
      const previous = routes.get(route);
      if (previous) {
        noteErrors(previous, tookMs, reportedSlowness);
      }
      routes.set(route, updatedAverages(previous, tookMs, reportedSlowness));
      overall = updatedAverages(overall, tookMs, reportedSlowness);
    },
  };
}

/** Error of a prediction: the same for half and for twice the time. */
function errorOf(predictedMs: number, tookMs: number): number {
  return Math.abs(Math.log(Math.max(1, tookMs) / Math.max(1, predictedMs)));
}

function updatedAverages(
  previous: Averages | undefined,
  tookMs: number,
  slowness: number,
): Averages {
  const usualMs = tookMs / slowness;
  if (!previous) {
    return { plainMs: tookMs, usualMs };
  }
  return {
    plainMs: previous.plainMs + (tookMs - previous.plainMs) * WEIGHT,
    usualMs: previous.usualMs + (usualMs - previous.usualMs) * WEIGHT,
  };
}
