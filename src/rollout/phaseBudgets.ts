/**
 * Divides the budget of a roll-out over its phases: the parts for the watch and the ramp, and when
 * the ramp and the shift begin.
 */

import {
  affordableMs,
  budgetAfter,
  budgetNow,
  type Exposure,
  requestsIn,
  requestsWithMarginIn,
} from './exposure.js';
import {
  isInDoubt,
  minShiftMs,
  RESERVE_MS,
  type RolloutFacts,
  requiredShiftMs,
  timeToDeadlineMs,
} from './rolloutFacts.js';
import { RolloutPhase } from './rolloutOrder.js';
import { canBeProven, shiftWithProofMs, totalRunsBeforeShift } from './rolloutProof.js';
import type { RouteTraffic } from './serviceTraffic.js';

/** Milliseconds by which the shift begins sooner than it must, where the budget allows it. */
const EARLY_START_MS = 600;

/** Approximate duration of the ramp in milliseconds: every owner reports a few times in it. */
export const RAMP_MS = 500;

/** Share of the requests that go to the version in the ramp. */
export const RAMP_SHARE = 0.25;

/** Largest part of the requests of watch and ramp together that the ramp gets. */
const RAMP_PART = 0.4;

/**
 * The ramp is left out if it would get less than this part of its usual requests: it would show
 * nothing.
 */
const LEAST_RAMP_PART = 0.4;

/** Requests on each route that the version must have finished in the ramp, if that many arrive. */
export const MIN_RAMP_RUNS = 5;

/**
 * Watch and ramp use the budget that the shift leaves, but at least this many requests on each
 * route.
 */
const LEAST_RUNS = 10;

/**
 * The watch uses at most MOST_RUNS requests on each route, which prove the version, or
 * MOST_WATCHED_PER_SECOND requests a second, whichever is more. At that rate a version that fails
 * one request in ten is found within seconds.
 */
const MOST_RUNS = 70;
const MOST_WATCHED_PER_SECOND = 20;

/**
 * Part of the budget that a version in doubt may use at once, so that the doubt is settled soon.
 */
const IN_DOUBT_PART = 0.55;

/** Milliseconds before the deadline at which the shift begins: early, if the budget allows it. */
export function shiftStartMs(facts: RolloutFacts, exposure: Exposure): number {
  if (canBeProven(facts)) {
    return shiftWithProofMs(facts) + EARLY_START_MS;
  }
  const needs = requiredShiftMs(facts);
  return Math.max(needs, Math.min(needs + EARLY_START_MS, affordableMs(exposure)));
}

/** Milliseconds before the deadline at which the ramp begins. */
export function rampStartMs(facts: RolloutFacts): number {
  const { exposure } = facts;
  const taken = exposure.taken + phaseBudgetsOf(facts).ramp;
  const requests = exposure.requests + requestsIn(exposure, rampMs(facts));
  return rampMs(facts) + shiftStartMs(facts, { ...exposure, taken, requests });
}

function rampMs(facts: RolloutFacts): number {
  return phaseBudgetsOf(facts).ramp > 0 ? RAMP_MS + facts.reportMs : 0;
}

interface PhaseBudgets {
  /** Requests that the version may have received by the time that the ramp begins. */
  readonly watch: number;
  /** Requests that it receives in the ramp. */
  readonly ramp: number;
}

/**
 * Budgets of watch and ramp. They leave the shift the part of the budget that it needs, except that
 * watch and ramp always get the requests they must bring: for a version that can be proven in the
 * shift those before it, else LEAST_RUNS on each route.
 */
export function phaseBudgetsOf(facts: RolloutFacts): PhaseBudgets {
  const { exposure, routes, ageMs } = facts;
  const untilDeadlineMs = Math.max(0, timeToDeadlineMs(facts));
  const bound = budgetAfter(exposure, untilDeadlineMs);
  const isToBeProven = canBeProven(facts);
  // If the version cannot be proven, the budget must cover the whole shift: more is kept for
  // delays.
  const keptMs = minShiftMs(facts) + (isToBeProven ? 0 : 2 * RESERVE_MS);
  const shift = requestsWithMarginIn(exposure, keptMs);
  const least = isToBeProven ? totalRunsBeforeShift(facts) : LEAST_RUNS * routes.length;
  const inDoubt = isInDoubt(facts) ? budgetNow(exposure) * IN_DOUBT_PART : 0;
  const rest = Math.max(bound - shift, least, inDoubt);
  const usual = routes.reduce((sum, route) => sum + usualRampRuns(route), 0);
  const left = Math.min(RAMP_PART * rest, usual);
  const ramp = left < usual * LEAST_RAMP_PART ? 0 : left;
  const most = Math.max(
    MOST_RUNS * routes.length,
    requestsIn({ perSecond: MOST_WATCHED_PER_SECOND }, ageMs + untilDeadlineMs),
  );
  return { watch: Math.min(most, rest - ramp), ramp };
}

/**
 * Requests of a route that the ramp usually brings. On a route with few requests the version gets a
 * larger share, so that there are enough to judge it by.
 */
function usualRampRuns(route: RouteTraffic): number {
  const expected = requestsIn(route, RAMP_MS);
  return Math.min(expected, Math.max(expected * RAMP_SHARE, MIN_RAMP_RUNS));
}

/** Requests of a route that the version gets in the ramp. */
export function rampRuns(facts: RolloutFacts, route: RouteTraffic): number {
  const usual = facts.routes.reduce((sum, each) => sum + usualRampRuns(each), 0);
  return usual > 0 ? (usualRampRuns(route) * phaseBudgetsOf(facts).ramp) / usual : 0;
}

/** Requests of a route that the version has yet to get in the ramp. */
export function rampRunsLeft(facts: RolloutFacts, route: RouteTraffic): number {
  const finished = facts.phase === RolloutPhase.Ramp ? route.phaseRuns : 0;
  return Math.max(0, rampRuns(facts, route) - finished);
}

/**
 * Requests that the version has received at most when the ramp is over. Runs on one route do not
 * use up those of another.
 */
export function maxTakenAfterRamp(facts: RolloutFacts): number {
  const left = facts.routes.reduce((sum, route) => sum + rampRunsLeft(facts, route), 0);
  return facts.exposure.taken + left;
}
