/**
 * How long a back end takes for a task, by route. Two predictions are kept: the moving average of what
 * tasks took, and the same at usual speed times the slowness that the back end tells. The one that has been
 * nearer to the truth lately is used: a back end that tells nothing, or something false, is judged by
 * what the owner has measured itself.
 */

/** Weight of the newest task in the moving averages. */
const WEIGHT = 0.1;

/** Assumed time, in milliseconds, until one has been seen. */
const INITIAL_MS = 20;

interface Averages {
  /** Milliseconds that tasks took. */
  plainMs: number;
  /** Milliseconds that they would have taken at usual speed. */
  usualMs: number;
}

export interface ServiceTimes {
  /** Milliseconds that a task of a route is expected to take now. */
  expectedMs(route: string): number;
  /** The same over all routes; undefined until a task has ended. */
  readonly meanMs: number | undefined;
  /** Milliseconds over all routes, or what is assumed. */
  readonly overallMs: number;
  /** A task has taken so many milliseconds while the back end told this slowness. */
  note(route: string, tookMs: number, slowness: number): void;
}

/** `slowness` tells how long work takes now, as a multiple of what is usual. */
export function createServiceTimes(slowness: () => number = () => 1): ServiceTimes {
  const routes = new Map<string, Averages>();
  let all: Averages | undefined;
  let plainError = 0;
  let toldError = 0;

  const expected = (averages: Averages | undefined): number => {
    if (!averages) {
      return INITIAL_MS;
    }
    return toldError < plainError ? averages.usualMs * slowness() : averages.plainMs;
  };

  const noteErrors = ({ plainMs, usualMs }: Averages, tookMs: number, told: number): void => {
    plainError += (errorOf(plainMs, tookMs) - plainError) * WEIGHT;
    toldError += (errorOf(usualMs * told, tookMs) - toldError) * WEIGHT;
  };

  return {
    expectedMs: (route) => expected(routes.get(route) ?? all),
    get meanMs() {
      return all && expected(all);
    },
    get overallMs() {
      return expected(all);
    },
    note: (route, tookMs, told) => {
      const known = routes.get(route);
      if (known) {
        noteErrors(known, tookMs, told);
      }
      routes.set(route, averaged(known, tookMs, told));
      all = averaged(all, tookMs, told);
    },
  };
}

/** How far a prediction was off: the same for half and for twice the time. */
function errorOf(predictedMs: number, tookMs: number): number {
  return Math.abs(Math.log(Math.max(1, tookMs) / Math.max(1, predictedMs)));
}

function averaged(known: Averages | undefined, tookMs: number, slowness: number): Averages {
  const usualMs = tookMs / slowness;
  if (!known) {
    return { plainMs: tookMs, usualMs };
  }
  return {
    plainMs: known.plainMs + (tookMs - known.plainMs) * WEIGHT,
    usualMs: known.usualMs + (usualMs - known.usualMs) * WEIGHT,
  };
}
