/** Finds the routes on which the evidence of a phase is still missing. */

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
 * Requests on each route that the version must have finished in the watch before it gets a larger
 * share. A version that fails half of its requests passes 12 without a failure once in 4,000 times.
 */
const WATCH_RUNS = 12;

/** Requests on each route that the version must have finished in the shift, if that many arrive. */
export const MIN_SHIFT_RUNS = 10;

/** Milliseconds within which the shift brings its evidence. */
const SHIFT_EVIDENCE_MS = 400;

/** Share of the planned runs that is enough to end the watch. */
const WATCHED_PART = 0.8;

/** True for a version that is likely good, with enough runs on each route in the shift itself. */
export function isLikelyGood(facts: RolloutFacts): boolean {
  return (
    hasEvidenceOf(facts, likelyGoodRuns(facts)) && undersampledRouteInShift(facts) === undefined
  );
}

/** The first route with too few runs in the ramp; undefined if none, or in another phase. */
export function undersampledRouteInRamp(facts: RolloutFacts): string | undefined {
  if (facts.phase !== RolloutPhase.Ramp) {
    return undefined;
  }
  return missingOfPhase(facts, (route) => rampRuns(facts, route), MIN_RAMP_RUNS);
}

/** The first route with too few runs in the shift; undefined if none. */
export function undersampledRouteInShift(facts: RolloutFacts): string | undefined {
  return missingOfPhase(facts, (route) => requestsIn(route, SHIFT_EVIDENCE_MS), MIN_SHIFT_RUNS);
}

/**
 * The first route on which the version has finished too few requests in the watch, measured by
 * WATCH_RUNS, by the plan and by the requests that arrived. Undefined if there is none.
 */
export function undersampledRouteInWatch(facts: RolloutFacts): string | undefined {
  const perEarlyRun = phaseBudgetsOf(facts).watch / Math.max(1, totalRunsBeforeShift(facts));
  const isMissing = (route: RouteTraffic) => {
    const planned = perEarlyRun * runsBeforeShift(facts, route) * WATCHED_PART;
    return route.runs < Math.min(WATCH_RUNS, planned, route.requests * EXPECTED_ARRIVAL_SHARE);
  };
  return facts.routes.find(isMissing)?.route;
}

/**
 * The first route with fewer runs in the phase than `wanted`, or than half of the requests that the
 * phase is expected to bring, whichever is less. Undefined if there is none.
 */
function missingOfPhase(
  { routes }: RolloutFacts,
  expectedRuns: (route: RouteTraffic) => number,
  wanted: number,
): string | undefined {
  const isMissing = (each: RouteTraffic) =>
    each.phaseRuns < Math.min(wanted, Math.floor(expectedRuns(each) * EXPECTED_ARRIVAL_SHARE));
  return routes.find(isMissing)?.route;
}
