/**
 * Which routes are calls of running back ends, and not requests of clients. Nothing on a request says
 * so. Clients sit on all machines, so their requests begin beside back ends of every service; calls
 * begin only beside back ends of the services that make them. A route whose requests never began beside
 * a service from which the other routes have a fair share of theirs is called.
 */

/** Requests of a route that are remembered at least. */
const REMEMBERED = 400;

/**
 * Requests that would have come from a service by now, were they from clients. Clients send several
 * requests from one machine, so it takes more than chance alone would ask for.
 */
const EXPECTED_FROM_SERVICE = 8;

/** Routes that are watched at once; with more, the counts begin anew, and verdicts stand until the next judgement. */
const MAX_ROUTES = 64;

/** A route is judged at each so many-th of its requests: a judgement goes over all routes. */
const JUDGED_EVERY = 16;

/** Above this share of what was expected, a service counts as one that sends the route. */
const ABSENT_SHARE = 0.1;

/** Watches the tasks that come to one owner. */
export interface CallRouteDetector {
  /** A task of a route has come from a machine that runs a service. */
  noteRequest(route: string, callerService: string): void;
  /** True when the route's requests are made by running back ends. */
  isCallRoute(route: string): boolean;
}

/** Requests by the service beside which they began; older ones count less and less. */
class Origins {
  total = 0;
  private sinceJudged = 0;
  private readonly counts = new Map<string, number>();

  note(service: string): void {
    this.total += 1;
    this.sinceJudged += 1;
    this.counts.set(service, this.countOf(service) + 1);
    if (this.total > 2 * REMEMBERED) {
      this.halve();
    }
  }

  countOf(service: string): number {
    return this.counts.get(service) ?? 0;
  }

  get services(): readonly string[] {
    return [...this.counts.keys()];
  }

  /** True once for each JUDGED_EVERY requests; asking begins the next group. */
  takeDue(): boolean {
    const isDue = this.sinceJudged >= JUDGED_EVERY;
    this.sinceJudged = isDue ? 0 : this.sinceJudged;
    return isDue;
  }

  private halve(): void {
    this.total /= 2;
    for (const [service, count] of this.counts) {
      this.counts.set(service, count / 2);
    }
  }
}

export function createCallRouteDetector(): CallRouteDetector {
  const byRoute = new Map<string, Origins>();
  const called = new Set<string>();

  /** Requests of the other routes, of those that clients send as far as known. */
  const othersOf = (route: string): Origins[] =>
    [...byRoute].flatMap(([other, origins]) =>
      other === route || called.has(other) ? [] : [origins],
    );

  /** True if a service that sends other routes does not send this one. */
  const isOnlyFromSome = (route: string, origins: Origins): boolean => {
    const others = othersOf(route);
    const all = sumOf(others, ({ total }) => total);
    const services = new Set(others.flatMap(({ services: known }) => known));
    return [...services].some((service) => {
      const share = sumOf(others, (other) => other.countOf(service)) / all;
      const expected = share * origins.total;
      const isAbsent = origins.countOf(service) < expected * ABSENT_SHARE;
      return isAbsent && expected >= EXPECTED_FROM_SERVICE;
    });
  };

  const originsOf = (route: string): Origins => {
    const known = byRoute.get(route);
    if (known) {
      return known;
    }
    if (byRoute.size >= MAX_ROUTES) {
      byRoute.clear();
    }
    const created = new Origins();
    byRoute.set(route, created);
    return created;
  };

  return {
    noteRequest: (route, callerService) => {
      const origins = originsOf(route);
      origins.note(callerService);
      if (!origins.takeDue()) {
        return;
      }
      if (isOnlyFromSome(route, origins)) {
        called.add(route);
      } else {
        called.delete(route);
      }
    },
    isCallRoute: (route) => called.has(route),
  };
}

function sumOf(all: readonly Origins[], countOf: (origins: Origins) => number): number {
  return all.reduce((sum, origins) => sum + countOf(origins), 0);
}
