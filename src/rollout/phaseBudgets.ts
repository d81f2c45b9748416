/** How a roll-out spends its bound: what the watch and the ramp may use of it, and when the ramp begins. */

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

/** The last step begins so much sooner than it must, in milliseconds, where the bound pays for it. */
const GOOD_TIME_MS = 600;

/** The larger share is given for about so long, in milliseconds: some reports of every owner. */
export const RAMP_MS = 500;

/** Share of the requests that go to the version in the ramp. */
export const RAMP_SHARE = 0.25;

/** The ramp gets no more than this part of what watch and ramp use. */
const RAMP_PART = 0.4;

/** And is left out where that is less than this part of what it should be: it would show nothing. */
const LEAST_RAMP_PART = 0.4;

/** Requests on each route that the version must have finished in the ramp, as far as so many come. */
export const MIN_RAMP_RUNS = 5;

/**
 * Watch and ramp use what the last step leaves of the bound, at least so many requests on each route. The watch
 * uses no more than proves the version on each route, or so many requests a second: a version that fails one in
 * ten is found within seconds by them.
 */
const LEAST_RUNS = 10;
const MOST_RUNS = 70;
const MOST_WATCHED_PER_SECOND = 20;

/** A version in doubt may use this part of the bound at once: what speaks against it is to be settled. */
const QUESTIONED_PART = 0.55;

/** Time before the deadline at which the last step begins: in good time, if the bound pays for that. */
export function shiftStartMs(facts: RolloutFacts, exposure: Exposure): number {
  if (canBeProven(facts)) {
    return shiftWithProofMs(facts) + GOOD_TIME_MS;
  }
  const needs = requiredShiftMs(facts);
  return Math.max(needs, Math.min(needs + GOOD_TIME_MS, affordableMs(exposure)));
}

/** Time before the deadline at which the ramp begins. */
export function rampStartMs(facts: RolloutFacts): number {
  const { exposure } = facts;
  const taken = exposure.taken + phaseBudgetsOf(facts).ramp;
  const requests = exposure.requests + requestsIn(exposure, rampMs(facts));
  return rampMs(facts) + shiftStartMs(facts, { ...exposure, taken, requests });
}

function rampMs(facts: RolloutFacts): number {
  return phaseBudgetsOf(facts).ramp > 0 ? RAMP_MS + facts.reportMs : 0;
}

/** Requests that the version is to have had when the ramp begins, and what it gets in the ramp. */
interface PhaseBudgets {
  readonly watch: number;
  readonly ramp: number;
}

/**
 * What the last step needs of the bound is kept for it, but that watch and ramp bring what they must for a version
 * that the last step can prove.
 */
export function phaseBudgetsOf(facts: RolloutFacts): PhaseBudgets {
  const { exposure, routes, ageMs } = facts;
  const untilDeadlineMs = Math.max(0, timeToDeadlineMs(facts));
  const bound = budgetAfter(exposure, untilDeadlineMs);
  const isToBeProven = canBeProven(facts);
  // A last step that must pay for itself keeps more for its delays.
  const keptMs = minShiftMs(facts) + (isToBeProven ? 0 : 2 * RESERVE_MS);
  const lastStep = requestsWithMarginIn(exposure, keptMs);
  const least = isToBeProven ? totalRunsBeforeShift(facts) : LEAST_RUNS * routes.length;
  const questioned = isInDoubt(facts) ? budgetNow(exposure) * QUESTIONED_PART : 0;
  const rest = Math.max(bound - lastStep, least, questioned);
  const usual = routes.reduce((sum, route) => sum + usualRampRuns(route), 0);
  const left = Math.min(RAMP_PART * rest, usual);
  const ramp = left < usual * LEAST_RAMP_PART ? 0 : left;
  const most = Math.max(
    MOST_RUNS * routes.length,
    requestsIn({ perSecond: MOST_WATCHED_PER_SECOND }, ageMs + untilDeadlineMs),
  );
  return { watch: Math.min(most, rest - ramp), ramp };
}

/** A route with few requests gives the version a larger part of them, so that they are enough to judge by. */
function usualRampRuns(route: RouteTraffic): number {
  const comes = requestsIn(route, RAMP_MS);
  return Math.min(comes, Math.max(comes * RAMP_SHARE, MIN_RAMP_RUNS));
}

/** Requests of a route that the version gets in the ramp. */
export function rampRuns(facts: RolloutFacts, route: RouteTraffic): number {
  const usual = facts.routes.reduce((sum, each) => sum + usualRampRuns(each), 0);
  return usual > 0 ? (usualRampRuns(route) * phaseBudgetsOf(facts).ramp) / usual : 0;
}

/** Those that are yet to come. */
export function rampRunsLeft(facts: RolloutFacts, route: RouteTraffic): number {
  const had = facts.phase === RolloutPhase.Ramp ? route.phaseRuns : 0;
  return Math.max(0, rampRuns(facts, route) - had);
}

/** What the version has had when the ramp is over: the runs of one route do not use up those of another. */
export function maxTakenAfterRamp(facts: RolloutFacts): number {
  const left = facts.routes.reduce((sum, route) => sum + rampRunsLeft(facts, route), 0);
  return facts.exposure.taken + left;
}
