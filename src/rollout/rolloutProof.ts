/** When a version has shown itself to be good: by how many requests on each route, and when they are to be had. */

import { budgetAfter, budgetNow, requestsIn } from './exposure.js';
import { type RolloutFacts, requiredShiftMs, timeToDeadlineMs } from './rolloutFacts.js';
import type { RouteTraffic } from './serviceTraffic.js';

/**
 * A version is likely to be good, and its limits are lifted in the last step, when one that fails a tenth more
 * than the others on a route would show so few failures as seldom as it passes so many requests without any. The
 * bound may leave room for more: then the version must show more.
 */
const LEAST_PROVING_RUNS = 36;
const MOST_PROVING_RUNS = 150;
const PROVING_PART = 0.7;

/** It is proven, and may be done before the deadline though the bound doesn't pay for it, with so many more. */
const PROVEN_RUNS_MORE = 14;

/** What a version shows as often as this if it fails a tenth more, with each request that doesn't fail. */
const PASSED_IF_BAD = 0.9;

/** The last step brings them within about so long, in milliseconds; watch and ramp must bring the rest. */
const PROOF_MS = 400;

/** Each route has so many of them early, whatever the last step brings. */
const LEAST_EARLY_RUNS = 8;

/** A route with fewer of the service's requests than this is rare. */
const RARE_SHARE = 0.05;

/** What comes at a steady rate comes in clumps: this part of it is waited for. */
export const EXPECTED_ARRIVAL_SHARE = 0.5;

/**
 * True for a version that has failed nothing, if the bound leaves what shows it to be likely good on each route by
 * the time that it is in the last step.
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

/** Requests on each route that show a version to be likely good if none fails: what the bound leaves room for. */
export function likelyGoodRuns({ exposure, routes }: RolloutFacts): number {
  const room = (budgetNow(exposure) * PROVING_PART) / Math.max(1, routes.length);
  return Math.min(MOST_PROVING_RUNS, Math.max(LEAST_PROVING_RUNS, Math.floor(room)));
}

/** Routes with hardly any requests are judged by half of them. */
function isRare({ exposure }: RolloutFacts, { perSecond }: RouteTraffic): boolean {
  return perSecond < exposure.perSecond * RARE_SHARE;
}

/** Runs of a route that watch and ramp are to bring: the fewer requests it has, the less the last step can. */
export function runsBeforeShift(facts: RolloutFacts, route: RouteTraffic): number {
  if (isRare(facts, route)) {
    return Math.min(likelyGoodRuns(facts), route.requests * EXPECTED_ARRIVAL_SHARE);
  }
  return Math.max(LEAST_EARLY_RUNS, likelyGoodRuns(facts) - requestsIn(route, PROOF_MS));
}

export function totalRunsBeforeShift(facts: RolloutFacts): number {
  return facts.routes.reduce((sum, route) => sum + runsBeforeShift(facts, route), 0);
}

/** Time that the last step needs to prove the version and to end. */
export function shiftWithProofMs(facts: RolloutFacts): number {
  const busy = facts.routes.filter((route) => !isRare(facts, route));
  const slowest = Math.min(...busy.map(({ perSecond }) => perSecond));
  const runsMs = (PROVEN_RUNS_MORE * 1_000) / slowest;
  return requiredShiftMs(facts) + PROOF_MS + (Number.isFinite(runsMs) ? runsMs : 0);
}

export function isProven(facts: RolloutFacts): boolean {
  return hasEvidenceOf(facts, provenRuns(facts));
}

/** Requests on each route that prove it. */
export function provenRuns(facts: RolloutFacts): number {
  return likelyGoodRuns(facts) + PROVEN_RUNS_MORE;
}

/** True if the version has shown on each route as much as so many requests without a failure do. */
export function hasEvidenceOf({ comparison }: RolloutFacts, runs: number): boolean {
  return comparison.chanceIfBad <= PASSED_IF_BAD ** runs;
}
