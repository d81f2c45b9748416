/**
 * What a version that may be bad has got of the requests of its service, and what it may still get: at most
 * a share of all requests and a slack, from the order to its deadline. Durations in milliseconds.
 */

/** The bounds of the deployment. */
export interface ExposureBounds {
  readonly exposureShare: number;
  readonly exposureSlack: number;
}

/** As far as the decider has been told. */
export interface Exposure extends ExposureBounds {
  /** Requests to the service since the order, and those of them that the version has got. */
  readonly requests: number;
  readonly taken: number;
  readonly perSecond: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Requests come by chance: so many standard deviations more than their rate says are kept in reserve. */
const LUCK = 1;

/** What the version may have got by now: what is told late only makes it less. */
export function budgetNow({ exposureShare, exposureSlack, requests }: Exposure): number {
  return exposureShare * requests + exposureSlack;
}

/** What it may have got so much later, if requests go on as they come. */
export function budgetAfter(exposure: Exposure, ms: number): number {
  const requests = exposure.requests + requestsIn(exposure, ms);
  return budgetNow({ ...exposure, requests });
}

/** Requests that come in so many milliseconds. */
export function requestsIn({ perSecond }: Pick<Exposure, 'perSecond'>, ms: number): number {
  return (perSecond * ms) / MILLISECONDS_PER_SECOND;
}

/** Requests that may come in so many milliseconds. */
export function requestsWithMarginIn(exposure: Exposure, ms: number): number {
  const comes = requestsIn(exposure, ms);
  return comes + LUCK * Math.sqrt(comes);
}

/** True if the bound is likely to hold when all requests go to the version for so long, whatever it makes of them. */
export function isWithinBudget(exposure: Exposure, ms: number): boolean {
  return exposure.taken + requestsWithMarginIn(exposure, ms) <= budgetAfter(exposure, ms);
}

/** For how long all requests may go to the version; infinite where there are none. */
export function affordableMs(exposure: Exposure): number {
  const { exposureShare, perSecond, taken } = exposure;
  const left = Math.max(0, budgetNow(exposure) - taken);
  const cost = 1 - exposureShare;
  const root = (Math.sqrt(LUCK ** 2 + 4 * cost * left) - LUCK) / (2 * cost);
  return perSecond > 0
    ? (root ** 2 * MILLISECONDS_PER_SECOND) / perSecond
    : Number.POSITIVE_INFINITY;
}
