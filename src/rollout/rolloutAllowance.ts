/**
 * What the version receives in each phase: a share of each route, and a total number of requests.
 */

import { budgetAfter, budgetNow, requestsIn } from './exposure.js';
import type { Allowance } from './exposureLimits.js';
import {
  maxTakenAfterRamp,
  phaseBudgetsOf,
  RAMP_MS,
  RAMP_SHARE,
  rampRuns,
  rampRunsLeft,
  rampStartMs,
} from './phaseBudgets.js';
import { isLikelyGood, MIN_SHIFT_RUNS, undersampledRouteInRamp } from './rolloutEvidence.js';
import {
  isInDoubt,
  isPastDeadline,
  isRestWithinBudget,
  type RolloutFacts,
  timeToDeadlineMs,
  unreportedMs,
} from './rolloutFacts.js';
import { RolloutPhase } from './rolloutOrder.js';
import { OTHER_ROUTES } from './rolloutPlan.js';
import { provenRuns, runsBeforeShift, totalRunsBeforeShift } from './rolloutProof.js';
import type { RouteTraffic } from './serviceTraffic.js';

/** Requests beyond those expected in a second that each owner may have left in the watch. */
const EXTRA_PER_OWNER = 2;

/**
 * Smallest share of a route in the watch: no route is left unobserved, as a version may turn bad
 * late.
 */
const LEAST_WATCH_SHARE = 0.01;

/**
 * Requests per second for a version in doubt on a route with failures; other routes get half as
 * many.
 */
const IN_DOUBT_PER_SECOND = 12;

/**
 * The requests still wanted in the watch are spread over the rest of it, and over at least this
 * time in milliseconds.
 */
const SHORTEST_WATCH_MS = 1_000;

/** Share of a route in the ramp. A route with no runs left gets only the smallest share. */
function rampShareOf(facts: RolloutFacts, route: RouteTraffic): number {
  const expected = requestsIn(route, RAMP_MS);
  if (rampRunsLeft(facts, route) === 0) {
    return LEAST_WATCH_SHARE;
  }
  return expected > 0 ? rampRuns(facts, route) / expected : RAMP_SHARE;
}

/**
 * Share of each route's requests that is offered to the version first. In the watch, the requests
 * still wanted are spread over the routes and over the rest of the time.
 */
export function sharesFor(phase: RolloutPhase, facts: RolloutFacts): ReadonlyMap<string, number> {
  const isNew = phase !== facts.phase;
  if (phase === RolloutPhase.Ramp && (isNew || undersampledRouteInRamp(facts) !== undefined)) {
    const shares = facts.routes.map((route) => [route.route, rampShareOf(facts, route)] as const);
    return new Map([[OTHER_ROUTES, RAMP_SHARE], ...shares]);
  }
  if (phase === RolloutPhase.Shift) {
    const shares = facts.routes.map((route) => [route.route, shiftShareOf(facts, route)] as const);
    return new Map([[OTHER_ROUTES, 1], ...shares]);
  }
  const perEarlyRun = phaseBudgetsOf(facts).watch / Math.max(1, totalRunsBeforeShift(facts));
  const reportingMs = facts.reportMs + SHORTEST_WATCH_MS;
  const restMs = Math.max(
    SHORTEST_WATCH_MS,
    timeToDeadlineMs(facts) - rampStartMs(facts) - reportingMs,
  );
  const shareOf = (route: RouteTraffic) => {
    if (isInDoubt(facts)) {
      return inDoubtShareOf(route);
    }
    const expected = requestsIn(route, restMs);
    const wanted = perEarlyRun * runsBeforeShift(facts, route);
    const share = expected > 0 ? (wanted - route.runs) / expected : 1;
    return Math.min(1, Math.max(LEAST_WATCH_SHARE, share));
  };
  const shares = facts.routes.map((route) => [route.route, shareOf(route)] as const);
  return new Map([[OTHER_ROUTES, LEAST_WATCH_SHARE], ...shares]);
}

/**
 * Share of a route in the shift until the limits are lifted: all of it, but only the smallest share
 * once the route has enough runs and nothing has failed.
 */
function shiftShareOf(facts: RolloutFacts, { runs, phaseRuns }: RouteTraffic): number {
  const hasEnoughRuns = runs >= provenRuns(facts) && phaseRuns >= MIN_SHIFT_RUNS;
  return hasEnoughRuns && facts.comparison.failed === 0 ? LEAST_WATCH_SHARE : 1;
}

function inDoubtShareOf({ perSecond, failed }: RouteTraffic): number {
  const wanted = failed > 0 ? IN_DOUBT_PER_SECOND : IN_DOUBT_PER_SECOND / 2;
  return perSecond > 0 ? Math.min(1, wanted / perSecond) : 1;
}

/** Requests that the version may receive now; each phase has its own part of the budget. */
export function allowanceFor(phase: RolloutPhase, facts: RolloutFacts): Allowance {
  const { exposure, routes } = facts;
  const { taken } = exposure;
  const budget = budgetNow(exposure);
  const additionalPerOwner = Number.POSITIVE_INFINITY;
  switch (phase) {
    case RolloutPhase.Watch: {
      const shares = sharesFor(phase, facts);
      const perSecond = routes.reduce(
        (sum, route) => sum + route.perSecond * (shares.get(route.route) ?? 0),
        0,
      );
      const additional = phaseBudgetsOf(facts).watch - taken;
      return { additional, additionalPerOwner: Math.ceil(perSecond) + EXTRA_PER_OWNER, budget };
    }
    case RolloutPhase.Ramp:
      return { additional: maxTakenAfterRamp(facts) - taken, additionalPerOwner, budget };
    case RolloutPhase.Halt:
      return { additional: 0, additionalPerOwner, budget };
    // All requests go to the version from now on, and the budget covers all that are expected, so
    // it also covers fewer.
    case RolloutPhase.Done:
      return {
        additional: Number.POSITIVE_INFINITY,
        additionalPerOwner,
        budget: budgetAfter(exposure, unreportedMs(facts)),
      };
    default:
      return { additional: Number.POSITIVE_INFINITY, additionalPerOwner, budget };
  }
}

/**
 * True while the version has no limit: all owners have it, the deadline is over, or the version is
 * likely good by runs in the shift itself.
 */
export function isUnlimited(phase: RolloutPhase, facts: RolloutFacts): boolean {
  const isOnlyVersion = facts.targets === facts.owners;
  const isShiftOrDone = phase === RolloutPhase.Shift || phase === RolloutPhase.Done;
  return isOnlyVersion || isPastDeadline(facts) || (isShiftOrDone && isLikelyGood(facts));
}

/**
 * True if the others may stop accepting new requests in the shift: the version has no limit or the
 * budget covers the rest, so its owners reject hardly any request.
 */
export function canFenceOthers(phase: RolloutPhase, facts: RolloutFacts): boolean {
  const isShiftOrDone = phase === RolloutPhase.Shift || phase === RolloutPhase.Done;
  return isShiftOrDone && (isUnlimited(phase, facts) || isRestWithinBudget(facts));
}
