/** Which evidence a phase of a roll-out still lacks, route by route. */

import { requestsIn } from './exposure.js';
import { MIN_RAMP_RUNS, phaseBudgetsOf, rampRuns } from './phaseBudgets.js';
import type { RolloutFacts } from './rolloutFacts.js';
import { RolloutPhase } from './rolloutOrder.js';
import {
  EXPECTED_ARRIVAL_SHARE,
  hasEvidenceOf,
  likelyGoodRuns,
  runsBeforeShift,
  totalRunsBeforeShift,
} from './rolloutProof.js';
import type { RouteTraffic } from './serviceTraffic.js';

/**
 * Requests on each route that the version must have finished before it gets more: one that fails half of
 * them passes so many without a failure once in four thousand times.
 */
const WATCH_RUNS = 12;

/** The same in the last step, as far as so many come. */
export const MIN_SHIFT_RUNS = 10;

/** The last step brings its evidence within about so long, in milliseconds. */
const LAST_STEP_MS = 400;

/** The watch is over when so much of what was wanted of it is there. */
const WATCHED_PART = 0.8;

/** True for a version that has shown in the last step as well that it is hardly a bad one. */
export function isLikelyGood(facts: RolloutFacts): boolean {
  return (
    hasEvidenceOf(facts, likelyGoodRuns(facts)) && undersampledRouteInShift(facts) === undefined
  );
}

export function undersampledRouteInRamp(facts: RolloutFacts): string | undefined {
  if (facts.phase !== RolloutPhase.Ramp) {
    return undefined;
  }
  return missingOfPhase(facts, (route) => rampRuns(facts, route), MIN_RAMP_RUNS);
}

export function undersampledRouteInShift(facts: RolloutFacts): string | undefined {
  return missingOfPhase(facts, (route) => requestsIn(route, LAST_STEP_MS), MIN_SHIFT_RUNS);
}

/** The first route of which the version has finished too few requests, of so many and of what there was. */
export function undersampledRouteInWatch(facts: RolloutFacts): string | undefined {
  const perEarlyRun = phaseBudgetsOf(facts).watch / Math.max(1, totalRunsBeforeShift(facts));
  const isMissing = (route: RouteTraffic) => {
    const planned = perEarlyRun * runsBeforeShift(facts, route) * WATCHED_PART;
    return route.runs < Math.min(WATCH_RUNS, planned, route.requests * EXPECTED_ARRIVAL_SHARE);
  };
  return facts.routes.find(isMissing)?.route;
}

/** The same within a phase that brings the version so many requests of a route. */
function missingOfPhase(
  { routes }: RolloutFacts,
  comes: (route: RouteTraffic) => number,
  wanted: number,
): string | undefined {
  const isMissing = (each: RouteTraffic) =>
    each.phaseRuns < Math.min(wanted, Math.floor(comes(each) * EXPECTED_ARRIVAL_SHARE));
  return routes.find(isMissing)?.route;
}
