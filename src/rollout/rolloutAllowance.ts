/** What the version gets in a phase: a share of each route, and so many requests in all. */

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

/** In the watch each owner may take what comes in a second, and so many requests more. */
const LEAST_EACH = 2;

/** No route is left unwatched: a version may turn bad late. */
const LEAST_WATCH_SHARE = 0.01;

/** A version in doubt gets so many requests a second on a route that has failed, and half as many on others. */
const QUESTIONED_PER_SECOND = 12;

/** What is wanted of the watch is spread over the rest of it, over so long at least, in milliseconds. */
const SHORTEST_WATCH_MS = 1_000;

/** A route that has had its part leaves the rest to the others. */
function rampShareOf(facts: RolloutFacts, route: RouteTraffic): number {
  const comes = requestsIn(route, RAMP_MS);
  if (rampRunsLeft(facts, route) === 0) {
    return LEAST_WATCH_SHARE;
  }
  return comes > 0 ? rampRuns(facts, route) / comes : RAMP_SHARE;
}

/**
 * Which part of each route's requests looks for the version first: what is wanted of the watch is spread over
 * the routes and over the rest of the time.
 */
export function sharesFor(phase: RolloutPhase, facts: RolloutFacts): ReadonlyMap<string, number> {
  const isNew = phase !== facts.phase;
  if (phase === RolloutPhase.Ramp && (isNew || undersampledRouteInRamp(facts) !== undefined)) {
    const shares = facts.routes.map((route) => [route.route, rampShareOf(facts, route)] as const);
    return new Map([[OTHER_ROUTES, RAMP_SHARE], ...shares]);
  }
  if (phase === RolloutPhase.Shift) {
    const shares = facts.routes.map((route) => [route.route, lastShareOf(facts, route)] as const);
    return new Map([[OTHER_ROUTES, 1], ...shares]);
  }
  const perEarlyRun = phaseBudgetsOf(facts).watch / Math.max(1, totalRunsBeforeShift(facts));
  const toldMs = facts.reportMs + SHORTEST_WATCH_MS;
  const restMs = Math.max(SHORTEST_WATCH_MS, timeToDeadlineMs(facts) - rampStartMs(facts) - toldMs);
  const shareOf = (route: RouteTraffic) => {
    if (isInDoubt(facts)) {
      return questionedShareOf(route);
    }
    const comes = requestsIn(route, restMs);
    const wanted = perEarlyRun * runsBeforeShift(facts, route);
    const share = comes > 0 ? (wanted - route.runs) / comes : 1;
    return Math.min(1, Math.max(LEAST_WATCH_SHARE, share));
  };
  const shares = facts.routes.map((route) => [route.route, shareOf(route)] as const);
  return new Map([[OTHER_ROUTES, LEAST_WATCH_SHARE], ...shares]);
}

/** Until the limits are lifted: a route that has shown enough leaves the rest to the others. */
function lastShareOf(facts: RolloutFacts, { runs, phaseRuns }: RouteTraffic): number {
  const isShown = runs >= provenRuns(facts) && phaseRuns >= MIN_SHIFT_RUNS;
  return isShown && facts.comparison.failed === 0 ? LEAST_WATCH_SHARE : 1;
}

function questionedShareOf({ perSecond, failed }: RouteTraffic): number {
  const wanted = failed > 0 ? QUESTIONED_PER_SECOND : QUESTIONED_PER_SECOND / 2;
  return perSecond > 0 ? Math.min(1, wanted / perSecond) : 1;
}

/** What the version may get now: each phase pays for its own. */
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
      return { additional, additionalPerOwner: Math.ceil(perSecond) + LEAST_EACH, budget };
    }
    case RolloutPhase.Ramp:
      return { additional: maxTakenAfterRamp(facts) - taken, additionalPerOwner, budget };
    case RolloutPhase.Halt:
      return { additional: 0, additionalPerOwner, budget };
    // All requests go to the version from now on, and the bound pays for as many: for fewer it does so too.
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

/** True while no limit is to hold the version back: nobody else serves, or it is proven in the last step itself. */
export function isUnlimited(phase: RolloutPhase, facts: RolloutFacts): boolean {
  const isAlone = facts.targets === facts.owners;
  const isInLastStep = phase === RolloutPhase.Shift || phase === RolloutPhase.Done;
  return isAlone || isPastDeadline(facts) || (isInLastStep && isLikelyGood(facts));
}

/** True if the others may take nothing new in the last step: the version's owners turn hardly anything away. */
export function canFenceOthers(phase: RolloutPhase, facts: RolloutFacts): boolean {
  const isInLastStep = phase === RolloutPhase.Shift || phase === RolloutPhase.Done;
  return isInLastStep && (isUnlimited(phase, facts) || isRestWithinBudget(facts));
}
