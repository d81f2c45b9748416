/**
 * When a version is considered good: how many requests without a failure it needs on each route,
 * and whether they can arrive in time.
 */

import { budgetAfter, budgetNow, requestsIn } from './exposure.js';
import { type RolloutFacts, requiredShiftMs, timeToDeadlineMs } from './rolloutFacts.js';
import type { RouteTraffic } from './serviceTraffic.js';

/**
 * Requests without a failure on each route after which a version is likely good; its limits are
 * then lifted in the shift. Where a route has seen failures, the evidence must be as strong: a
 * version whose failure share is 0.1 above that of the others shows it no more often than it passes
 * this many requests without a failure. The number is PROVING_PART of the budget, divided by the
 * number of routes, within these two bounds: the more the budget allows, the more the version must
 * show.
 */
const LEAST_PROVING_RUNS = 36;
const MOST_PROVING_RUNS = 150;
const PROVING_PART = 0.7;

/**
 * Requests on each route beyond the likely good number after which a version is proven. A proven
 * version may complete before the deadline though the budget does not cover all requests until
 * then.
 */
const PROVEN_RUNS_MORE = 14;

/** Probability that a version whose failure share is 0.1 above the others' passes one request. */
const PASSED_IF_BAD = 0.9;

/**
 * Milliseconds of the shift that count towards the likely good number; watch and ramp must bring
 * the other requests.
 */
const PROOF_MS = 400;

/** Requests on each route that watch and ramp must bring, however many the shift brings. */
const LEAST_EARLY_RUNS = 8;

/** A route with a smaller share of the service's requests than this is rare. */
const RARE_SHARE = 0.05;

/**
 * Share of the requests expected from a route's rate that is waited for: requests arrive unevenly
 * even at a steady rate.
 */
export const EXPECTED_ARRIVAL_SHARE = 0.5;

/**
 * True if the version has failed nothing and is not in doubt, and each route (rare ones excepted)
 * brings enough requests by the start of the shift to show it likely good, within the budget at
 * that time.
 */
export function canBeProven(facts: RolloutFacts): boolean {
  const { exposure, routes, comparison } = facts;
  const before = Math.max(0, timeToDeadlineMs(facts) - shiftWithProofMs(facts));
  const proving = likelyGoodRuns(facts);
  const seen = routes.every(
    (route) => route.requests + requestsIn(route, before) >= proving || isRare(facts, route),
  );
  const isClean = comparison.failed === 0 && comparison.doubt === undefined;
  return isClean && seen && proving * routes.length <= budgetAfter(exposure, before);
}

/**
 * Requests on each route that show a version to be likely good if none fails; grows with the
 * budget.
 */
export function likelyGoodRuns({ exposure, routes }: RolloutFacts): number {
  const room = (budgetNow(exposure) * PROVING_PART) / Math.max(1, routes.length);
  return Math.min(MOST_PROVING_RUNS, Math.max(LEAST_PROVING_RUNS, Math.floor(room)));
}

/** True for a route with hardly any requests; it is judged by half of those that arrived. */
function isRare({ exposure }: RolloutFacts, { perSecond }: RouteTraffic): boolean {
  return perSecond < exposure.perSecond * RARE_SHARE;
}

/**
 * Runs of a route that watch and ramp must bring. The fewer requests a route has, the fewer the
 * shift can contribute.
 */
export function runsBeforeShift(facts: RolloutFacts, route: RouteTraffic): number {
  if (isRare(facts, route)) {
    return Math.min(likelyGoodRuns(facts), route.requests * EXPECTED_ARRIVAL_SHARE);
  }
  return Math.max(LEAST_EARLY_RUNS, likelyGoodRuns(facts) - requestsIn(route, PROOF_MS));
}

export function totalRunsBeforeShift(facts: RolloutFacts): number {
  return facts.routes.reduce((sum, route) => sum + runsBeforeShift(facts, route), 0);
}

/** Milliseconds that the shift needs to prove the version and to end. */
export function shiftWithProofMs(facts: RolloutFacts): number {
  const busy = facts.routes.filter((route) => !isRare(facts, route));
  const slowest = Math.min(...busy.map(({ perSecond }) => perSecond));
  const runsMs = (PROVEN_RUNS_MORE * 1_000) / slowest;
  return requiredShiftMs(facts) + PROOF_MS + (Number.isFinite(runsMs) ? runsMs : 0);
}

export function isProven(facts: RolloutFacts): boolean {
  return hasEvidenceOf(facts, provenRuns(facts));
}

/** Requests on each route after which the version is proven if none fails. */
export function provenRuns(facts: RolloutFacts): number {
  return likelyGoodRuns(facts) + PROVEN_RUNS_MORE;
}

/**
 * True if the evidence on each route is at least as strong as `runs` requests without a failure.
 */
export function hasEvidenceOf({ comparison }: RolloutFacts, runs: number): boolean {
  return comparison.chanceIfBad <= PASSED_IF_BAD ** runs;
}
