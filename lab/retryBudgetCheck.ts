/**
 * Checks the arrivals at the back ends of a service against its retry budget: in every window, the
 * arrivals beyond the first of each request may be at most a share of the clients' requests for the
 * service, plus a fixed number. The calls that a repeated run makes carry the ids of the first run's
 * calls, so they count as repeats.
 */
import type { RetryBudgetBounds } from '../src/ingress/shared-retry-budget.js';
import type { RequestEvent } from './departureCheck.js';

/** A window that holds more repeats than it may. */
export interface BudgetExcess {
  readonly until: number;
  readonly repeats: number;
  readonly allowed: number;
}

/** What happened at one service. */
export interface ServiceHistory {
  /** Steady times in milliseconds at which clients sent requests for the service; calls don't count. */
  readonly requestTimes: readonly number[];
  readonly arrivals: readonly RequestEvent[];
}

/** Windows before the one with the repeats whose requests may count instead, in window lengths. */
const EARLIER_WINDOWS = [0, 0.5, 1];

export function repeatsIn(arrivals: readonly RequestEvent[]): RequestEvent[] {
  const seen = new Set<string>();
  const inOrder = arrivals.toSorted((left, right) => left.at - right.at);
  return inOrder.filter(({ requestId }) => seen.size === seen.add(requestId).size);
}

export function budgetExcesses(
  { requestTimes, arrivals }: ServiceHistory,
  { ratio, windowMs, slack }: RetryBudgetBounds,
): BudgetExcess[] {
  const repeatTimes = repeatsIn(arrivals).map(({ at }) => at);
  const countIn = (times: readonly number[], until: number) =>
    times.filter((time) => time > until - windowMs && time <= until).length;
  return repeatTimes.flatMap((until) => {
    const requests = EARLIER_WINDOWS.map((windows) =>
      countIn(requestTimes, until - windows * windowMs),
    );
    const repeats = countIn(repeatTimes, until);
    const allowed = ratio * Math.max(...requests) + slack;
    return repeats > allowed ? [{ until, repeats, allowed }] : [];
  });
}
