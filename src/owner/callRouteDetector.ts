/**
 * Detects which routes are called by running back ends and not by clients. A request itself doesn't
 * show this. Clients run on all machines, so their requests begin on machines of every service.
 * Calls begin only on machines of the services that make them. So a route counts as a call route if
 * hardly any of its requests began on machines of a service from which the other routes receive a
 * substantial share of theirs. An owner that receives only calls has no such other routes; it expects
 * requests of clients from every machine alike.
 */

/**
 * Sum of a route's counts after they have been halved, which happens when it exceeds twice this
 * number.
 */
const HALVED_COUNT = 400;

/**
 * Minimum number of requests that a service would have sent by now if the route were one of
 * clients. It is larger than independent requests would need, since clients send several requests
 * from one machine.
 */
const EXPECTED_FROM_SERVICE = 8;

/**
 * Maximum number of counted routes. At more, all counts restart; results stay until the next
 * evaluation.
 */
const MAX_ROUTES = 64;

/** Requests of a route between two evaluations, as an evaluation iterates over all routes. */
const REQUESTS_PER_EVALUATION = 16;

/** A service counts as a sender of the route from this share of the expected requests. */
const MIN_SENDER_SHARE = 0.1;

/** Observes the tasks that arrive at one owner. */
export interface CallRouteDetector {
  /** Records a task of a route from a machine that runs `callerService`. */
  noteRequest(route: string, callerService: string): void;
  /** True if the route's requests are made by running back ends. */
  isCallRoute(route: string): boolean;
}

/**
 * Counts requests by the service on the machine where they began. The weight of older ones decays.
 */
class RequestOrigins {
  total = 0;
  private sinceEvaluation = 0;
  private readonly counts = new Map<string, number>();

  note(service: string): void {
    this.total += 1;
    this.sinceEvaluation += 1;
    this.counts.set(service, this.countOf(service) + 1);
    if (this.total > 2 * HALVED_COUNT) {
      this.halve();
    }
  }

  countOf(service: string): number {
    return this.counts.get(service) ?? 0;
  }

  get services(): readonly string[] {
    return [...this.counts.keys()];
  }

  /**
   * True once per REQUESTS_PER_EVALUATION requests; if so, restarts the count to the next
   * evaluation.
   */
  startEvaluationIfDue(): boolean {
    const isDue = this.sinceEvaluation >= REQUESTS_PER_EVALUATION;
    this.sinceEvaluation = isDue ? 0 : this.sinceEvaluation;
    return isDue;
  }

  private halve(): void {
    this.total /= 2;
    for (const [service, count] of this.counts) {
      this.counts.set(service, count / 2);
    }
  }
}

/** `nodesByService` is the number of known machines for each service that runs on them. */
export function createCallRouteDetector(
  nodesByService: () => ReadonlyMap<string, number> = () => new Map(),
): CallRouteDetector {
  const originsByRoute = new Map<string, RequestOrigins>();
  const callRoutes = new Set<string>();

  /** Origins of the other routes, except known call routes. */
  const otherOrigins = (route: string): RequestOrigins[] =>
    [...originsByRoute].flatMap(([other, origins]) =>
      other === route || callRoutes.has(other) ? [] : [origins],
    );

  /** Share of a client route's requests that are expected from machines of each service. */
  const expectedShares = (route: string): ReadonlyMap<string, number> => {
    const others = otherOrigins(route);
    const services = new Set(others.flatMap(({ services: senders }) => senders));
    const countOf = (service: string) => sumOf(others, (other) => other.countOf(service));
    return services.size > 0
      ? sharesOf(new Map([...services].map((service) => [service, countOf(service)])))
      : sharesOf(nodesByService());
  };

  /** True if a service from which requests of clients are expected hardly sends this route. */
  const lacksSender = (route: string, origins: RequestOrigins): boolean =>
    [...expectedShares(route)].some(([service, share]) => {
      const expected = share * origins.total;
      const isMissing = origins.countOf(service) < expected * MIN_SENDER_SHARE;
      return isMissing && expected >= EXPECTED_FROM_SERVICE;
    });

  const originsOf = (route: string): RequestOrigins => {
    const existing = originsByRoute.get(route);
    if (existing) {
      return existing;
    }
    if (originsByRoute.size >= MAX_ROUTES) {
      originsByRoute.clear();
    }
    const created = new RequestOrigins();
    originsByRoute.set(route, created);
    return created;
  };

  return {
    noteRequest: (route, callerService) => {
      const origins = originsOf(route);
      origins.note(callerService);
      if (!origins.startEvaluationIfDue()) {
        return;
      }
      if (lacksSender(route, origins)) {
        callRoutes.add(route);
      } else {
        callRoutes.delete(route);
      }
    },
    isCallRoute: (route) => callRoutes.has(route),
  };
}

function sharesOf(counts: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  const total = sumOf([...counts.values()], (count) => count);
  return new Map([...counts].map(([name, count]) => [name, count / total]));
}

function sumOf<Item>(all: readonly Item[], countOf: (item: Item) => number): number {
  return all.reduce((sum, item) => sum + countOf(item), 0);
}
