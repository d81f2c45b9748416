/** How long the back end takes for a task, by route: moving averages of the time and of its spread. */

/** Weight of the newest service time in the moving averages. */
const AVERAGE_WEIGHT = 0.1;

/** Assumed service time, in milliseconds, until one has been seen. */
const INITIAL_MS = 20;

/**
 * Mean deviations above the mean within which a task is counted on to be done: about nineteen in twenty
 * where times are spread evenly around their mean (Jacobson, "Congestion Avoidance and Control", 1988,
 * keeps mean and mean deviation alike).
 */
const COUNTED_DEVIATIONS = 2;

interface RouteTimes {
  meanMs: number;
  deviationMs: number;
}

/** Owned by the admission control; all times are in milliseconds. */
export interface ServiceTimes {
  /** Mean of all routes; the assumed time until one has been seen. */
  readonly overallMs: number;
  /** True once a time has been seen. */
  readonly isKnown: boolean;
  note(route: string, serviceMs: number): void;
  /** Expected time of a task of a route. */
  meanOf(route: string): number;
  /** Time within which almost every task of a route is done. */
  boundOf(route: string): number;
}

export function createServiceTimes(): ServiceTimes {
  const routes = new Map<string, RouteTimes>();
  let overallMs = INITIAL_MS;
  const meanOf = (route: string) => routes.get(route)?.meanMs ?? overallMs;
  return {
    get overallMs() {
      return overallMs;
    },
    get isKnown() {
      return routes.size > 0;
    },
    note: (route, serviceMs) => {
      if (routes.size === 0) {
        overallMs = serviceMs;
      }
      overallMs += (serviceMs - overallMs) * AVERAGE_WEIGHT;
      const times = routes.get(route) ?? { meanMs: serviceMs, deviationMs: 0 };
      const error = serviceMs - times.meanMs;
      times.meanMs += error * AVERAGE_WEIGHT;
      times.deviationMs += (Math.abs(error) - times.deviationMs) * AVERAGE_WEIGHT;
      routes.set(route, times);
    },
    meanOf,
    boundOf: (route) => meanOf(route) + COUNTED_DEVIATIONS * (routes.get(route)?.deviationMs ?? 0),
  };
}
