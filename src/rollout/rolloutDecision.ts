/**
 * What becomes of a roll-out next: a pure function of what its decider knows.
 *
 * Each step is taken on what has been reported of it, never because its time is over: the version is watched
 * at a small share, gets a larger one, then all that is new, so that the others can finish what they run; at
 * `completed` they stop at once. The last step begins no sooner than the version may get every request until
 * the deadline without breaking its bound, whatever it makes of them. Where the end takes longer than that,
 * the version must have proved itself on each route first.
 */

import { budgetNow, isWithinBudget, requestsIn } from './exposure.js';
import {
  maxTakenAfterRamp,
  phaseBudgetsOf,
  RAMP_MS,
  rampStartMs,
  shiftStartMs,
} from './phaseBudgets.js';
import {
  isLikelyGood,
  undersampledRouteInRamp,
  undersampledRouteInShift,
  undersampledRouteInWatch,
} from './rolloutEvidence.js';
import {
  DOUBT_WEIGHT,
  isPastDeadline,
  isRestWithinBudget,
  minShiftMs,
  type RolloutFacts,
  requiredShiftMs,
  timeToDeadlineMs,
} from './rolloutFacts.js';
import { RolloutPhase } from './rolloutOrder.js';
import { canBeProven, isProven } from './rolloutProof.js';
import type { ComparisonSummary } from './versionComparison.js';

/** A version that has come late is watched for this part of the duration after it has come, ... */
const LATE_WATCHED_SHARE = 0.45;

/** ... though no longer than until this part of the duration is over, if it came before that. */
const LAST_START_SHARE = 0.8;

/** The same without the back end that the evidence rests on most. */
const DOUBT_WITHOUT_ONE = 2;

/** Part of the owners of the service that must have reported lately for a step forward. */
const QUORUM = 0.6;

/** What is left of the bound in the last step must last for this time at least, in milliseconds. */
const LEAST_LEFT_MS = 50;

/** The phase to be in, and why. */
export interface RolloutDecision {
  readonly phase: RolloutPhase;
  readonly reason: string;
}

export function decideRollout(facts: RolloutFacts): RolloutDecision {
  const { phase, comparison } = facts;
  if (phase === RolloutPhase.Halt || comparison.isBad) {
    return { phase: RolloutPhase.Halt, reason: `${comparison.measure} ${comparison.route}`.trim() };
  }
  if (isDoubtedAtDeadline(facts)) {
    const doubt = comparison.comparedDoubt ?? `${comparison.measure} ${comparison.route}`;
    return { phase: RolloutPhase.Halt, reason: `in doubt at the deadline: ${doubt}` };
  }
  const obstacle = obstacleTo(facts);
  if (obstacle) {
    return { phase: RolloutPhase.Watch, reason: obstacle };
  }
  switch (phase) {
    case RolloutPhase.Watch:
      return afterWatch(facts);
    case RolloutPhase.Ramp:
      return afterRamp(facts);
    default:
      return afterShift(facts);
  }
}

/** True for a version that may get every request until the deadline, or for which no bound holds any longer. */
function mayBegin(facts: RolloutFacts): boolean {
  const { phase, exposure } = facts;
  const taken = Math.max(
    exposure.taken,
    phase === RolloutPhase.Ramp ? maxTakenAfterRamp(facts) : phaseBudgetsOf(facts).watch,
  );
  return (
    isPastDeadline(facts) ||
    isWithinBudget({ ...exposure, taken }, Math.max(0, timeToDeadlineMs(facts)))
  );
}

/**
 * Once its last steps cannot be over by the deadline, a good version is late in any case, and a bad one must
 * not stay.
 */
function isDoubtedAtDeadline(facts: RolloutFacts): boolean {
  const { phase, comparison, ageMs, durationMs } = facts;
  const isLastMoment = timeToDeadlineMs(facts) <= minShiftMs(facts) && ageMs < durationMs;
  const { weight, weightWithoutOne, comparedDoubt } = comparison;
  const isDoubted =
    (weight >= DOUBT_WEIGHT && weightWithoutOne >= DOUBT_WITHOUT_ONE) ||
    comparedDoubt !== undefined;
  return phase === RolloutPhase.Watch && isLastMoment && isDoubted;
}

/** A machine in trouble whose failures are all there are is no doubt of the version. */
function isWeighty({ weight, weightWithoutOne, suspect }: ComparisonSummary): boolean {
  return weight >= DOUBT_WEIGHT && (suspect === undefined || weightWithoutOne >= DOUBT_WITHOUT_ONE);
}

/** Why the version must not get more than a small share now, if so. */
function obstacleTo(facts: RolloutFacts): string | undefined {
  const { comparison, targets, targetSlots, otherSlots, demand, owners, reporting } = facts;
  if (targets === 0 || facts.targetAgeMs === undefined) {
    return 'no back end of the version is up';
  }
  if (isWeighty(comparison)) {
    return `in doubt: ${comparison.measure} ${comparison.route}`;
  }
  if (comparison.doubt !== undefined) {
    return `in doubt: ${comparison.doubt}`;
  }
  if (reporting < owners * QUORUM) {
    return `${reporting} of ${owners} owners report`;
  }
  // In an overload nobody has room for all: the version is to have no less than the others.
  if (targetSlots < Math.min(demand, otherSlots)) {
    return `${targetSlots} slots for ${demand} requests`;
  }
  return undefined;
}

function afterWatch(facts: RolloutFacts): RolloutDecision {
  const watched = (reason: string) => ({ phase: RolloutPhase.Watch, reason });
  if (timeToDeadlineMs(facts) > rampStartMs(facts) || facts.ageMs < lateStartMs(facts)) {
    return watched('being watched');
  }
  const missing = undersampledRouteInWatch(facts);
  // At the last moment the ramp brings the evidence that the watch has not, and the bound pays for the rest.
  if (missing !== undefined && timeToDeadlineMs(facts) > RAMP_MS + requiredShiftMs(facts)) {
    return watched(`too little evidence of ${missing}`);
  }
  if (isTooLate(facts)) {
    return watched('the last step cannot be over in time');
  }
  return phaseBudgetsOf(facts).ramp > 0
    ? { phase: RolloutPhase.Ramp, reason: 'watched long enough' }
    : afterRamp(facts);
}

function afterRamp(facts: RolloutFacts): RolloutDecision {
  const ramped = (reason: string) => ({ phase: facts.phase, reason });
  const missing = undersampledRouteInRamp(facts);
  if (missing !== undefined) {
    return ramped(`waits for reports of ${missing}`);
  }
  if (isTooLate(facts)) {
    return { phase: RolloutPhase.Watch, reason: 'the last step cannot be over in time' };
  }
  if (mayBegin(facts)) {
    return { phase: RolloutPhase.Shift, reason: 'well at the larger share' };
  }
  if (canBeProven(facts) && timeToDeadlineMs(facts) <= shiftStartMs(facts, facts.exposure)) {
    return { phase: RolloutPhase.Shift, reason: 'well at the larger share, to be proven' };
  }
  return ramped('too early for the bound');
}

/** After the deadline no bound holds any longer: until then all requests would go to the version for nothing. */
function isTooLate(facts: RolloutFacts): boolean {
  const left = timeToDeadlineMs(facts);
  return left > 0 && left < minShiftMs(facts);
}

function afterShift(facts: RolloutFacts): RolloutDecision {
  const { phase, busyOthers, exposure, isFenced } = facts;
  const isSafe = isRestWithinBudget(facts) || isProven(facts);
  const least = requestsIn(exposure, LEAST_LEFT_MS);
  const isHeld = !isSafe && !isLikelyGood(facts) && timeToDeadlineMs(facts) > 0;
  if (isHeld && isFenced && budgetNow(exposure) - exposure.taken < least) {
    return { phase: RolloutPhase.Watch, reason: 'nothing is left of the bound' };
  }
  const missing = undersampledRouteInShift(facts);
  if (missing !== undefined) {
    return { phase, reason: `waits for reports of ${missing}` };
  }
  if (isHeld) {
    return { phase, reason: 'too early for the bound' };
  }
  if (busyOthers > 0) {
    return { phase, reason: `${busyOthers} owners of other versions still run requests` };
  }
  return isSafe
    ? { phase: RolloutPhase.Done, reason: 'the others run nothing' }
    : { phase, reason: 'too early for the bound' };
}

/** Age of the order at which a version that came late gets more, in milliseconds; 0 for one that came in time. */
function lateStartMs({ ageMs, durationMs, targetAgeMs = 0 }: RolloutFacts): number {
  const cameMs = ageMs - targetAgeMs;
  const lateMs = cameMs + durationMs * LATE_WATCHED_SHARE;
  const last = durationMs * LAST_START_SHARE;
  return cameMs < last ? Math.min(lateMs, last) : lateMs;
}
