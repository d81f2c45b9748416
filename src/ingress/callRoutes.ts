/**
 * Remembers which routes running back ends call, as owners report with the outcomes of tasks. A
 * single ingress cannot tell: it sees only the requests that begin on its own machine.
 */

/** Every `now` is a steady time in milliseconds. */
export interface CallRoutes {
  /** Records that an owner counts a route as one of calls. */
  note(route: string, now: number): void;
  isCallRoute(route: string, now: number): boolean;
}

/** Time for which a report holds, in milliseconds. Owners that have restarted have to learn first. */
const REPORT_LIFETIME_MS = 60_000;

/** Largest number of routes that are remembered; the oldest report makes room. */
const MAX_ROUTES = 256;

export function createCallRoutes(): CallRoutes {
  /** Steady times in milliseconds of the latest reports, the oldest first. */
  const reportedAt = new Map<string, number>();
  return {
    note: (route, now) => {
      reportedAt.delete(route);
      reportedAt.set(route, now);
      const [oldest] = reportedAt.keys();
      if (reportedAt.size > MAX_ROUTES && oldest !== undefined) {
        reportedAt.delete(oldest);
      }
    },
    isCallRoute: (route, now) =>
      now - (reportedAt.get(route) ?? Number.NEGATIVE_INFINITY) < REPORT_LIFETIME_MS,
  };
}
