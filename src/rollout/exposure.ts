/**
 * Exposure of a roll-out: how many of the service's requests a version that may be bad has
 * received, and how many more it may receive. From the order to its deadline that is at most a
 * share of all requests plus a slack. Durations are in milliseconds.
 */

/** The deployment's bounds on exposure. */
export interface ExposureBounds {
  readonly exposureShare: number;
  readonly exposureSlack: number;
}

/** Exposure of one roll-out, from the reports that the decider has received. */
export interface Exposure extends ExposureBounds {
  /** Requests to the service since the order. */
  readonly requests: number;
  /** Requests of these that the version received. */
  readonly taken: number;
  readonly perSecond: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Standard deviations kept in reserve above the expected number of requests: arrivals are random.
 */
const RESERVE_DEVIATIONS = 1;

/**
 * Requests that the version may have received by now. Late reports only lower this number, so it
 * never exceeds the bound.
 */
export function budgetNow({ exposureShare, exposureSlack, requests }: Exposure): number {
  return exposureShare * requests + exposureSlack;
}

/** Requests that the version may have received `ms` from now, if requests keep their rate. */
export function budgetAfter(exposure: Exposure, ms: number): number {
  const requests = exposure.requests + requestsIn(exposure, ms);
  return budgetNow({ ...exposure, requests });
}

/** Requests expected within `ms`. */
export function requestsIn({ perSecond }: Pick<Exposure, 'perSecond'>, ms: number): number {
  return (perSecond * ms) / MILLISECONDS_PER_SECOND;
}

/** Requests that may arrive within `ms`, with the reserve for random arrivals. */
export function requestsWithMarginIn(exposure: Exposure, ms: number): number {
  const expected = requestsIn(exposure, ms);
  return expected + RESERVE_DEVIATIONS * Math.sqrt(expected);
}

/**
 * True if the bound is likely to hold when all requests go to the version for `ms`, even if it
 * fails all of them.
 */
export function isWithinBudget(exposure: Exposure, ms: number): boolean {
  return exposure.taken + requestsWithMarginIn(exposure, ms) <= budgetAfter(exposure, ms);
}

/** Milliseconds for which all requests may go to the version; infinite if no requests arrive. */
export function affordableMs(exposure: Exposure): number {
  const { exposureShare, perSecond, taken } = exposure;
  const left = Math.max(0, budgetNow(exposure) - taken);
  const cost = 1 - exposureShare;
  const root =
    (Math.sqrt(RESERVE_DEVIATIONS ** 2 + 4 * cost * left) - RESERVE_DEVIATIONS) / (2 * cost);
  return perSecond > 0
    ? (root ** 2 * MILLISECONDS_PER_SECOND) / perSecond
    : Number.POSITIVE_INFINITY;
}
