/**
 * Decides the next phase of a roll-out: a pure function of the facts that its decider has.
 *
 * A phase ends because of reports made in it, not only because its time is over; close to the
 * deadline, the watch may end without all the evidence. The version is watched at a small share,
 * gets a larger share (the ramp), then all new requests (the shift), so that the others can finish
 * the requests they run; when the order is `completed` the others stop at once. The shift begins no
 * sooner than the budget covers every request until the deadline, even if the version fails all of
 * them. If the shift needs more time than that leaves, it may begin earlier, and the version must
 * be proven good on each route in the shift.
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

/** A version that came up late is watched for this share of the duration after it came up. */
const LATE_WATCHED_SHARE = 0.45;

/**
 * Share of the duration at which the watch of a late version ends at the latest, if the version
 * came up before that time.
 */
const LAST_START_SHARE = 0.8;

/**
 * Like DOUBT_WEIGHT, but for the weight without the back end that contributes most to the evidence.
 */
const DOUBT_WITHOUT_ONE = 2;

/** Share of the service's owners that must have reported recently for a step beyond the watch. */
const QUORUM = 0.6;

/** Milliseconds of requests that the rest of the budget must cover in the shift. */
const MIN_COVERED_MS = 50;

/** The next phase and the reason for it. */
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
  const obstacle = obstacleOf(facts);
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

/** True if the budget covers every request until the deadline, or the deadline is over. */
function canBeginShift(facts: RolloutFacts): boolean {
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
 * True if the version is in doubt in the watch when the time left no longer covers the shift. A
 * good version would miss the deadline in any case, and a bad one must not stay.
 */
function isDoubtedAtDeadline(facts: RolloutFacts): boolean {
  const { phase, comparison, ageMs, durationMs } = facts;
  const isShiftTooLate = timeToDeadlineMs(facts) <= minShiftMs(facts) && ageMs < durationMs;
  const { weight, weightWithoutOne, comparedDoubt } = comparison;
  const isDoubted =
    (weight >= DOUBT_WEIGHT && weightWithoutOne >= DOUBT_WITHOUT_ONE) ||
    comparedDoubt !== undefined;
  return phase === RolloutPhase.Watch && isShiftTooLate && isDoubted;
}

/**
 * True for evidence that puts the version in doubt; failures of a single suspected machine do not.
 */
function hasDoubtfulWeight({ weight, weightWithoutOne, suspect }: ComparisonSummary): boolean {
  return weight >= DOUBT_WEIGHT && (suspect === undefined || weightWithoutOne >= DOUBT_WITHOUT_ONE);
}

/**
 * The reason why the version must get no more than a small share now; undefined if there is none.
 */
function obstacleOf(facts: RolloutFacts): string | undefined {
  const { comparison, targets, targetSlots, otherSlots, demand, owners, reporting } = facts;
  if (targets === 0 || facts.targetAgeMs === undefined) {
    return 'no back end of the version is up';
  }
  if (hasDoubtfulWeight(comparison)) {
    return `in doubt: ${comparison.measure} ${comparison.route}`;
  }
  if (comparison.doubt !== undefined) {
    return `in doubt: ${comparison.doubt}`;
  }
  if (reporting < owners * QUORUM) {
    return `${reporting} of ${owners} owners report`;
  }
  // In an overload no version has slots for all requests; as many slots as the others have are
  // enough.
  if (targetSlots < Math.min(demand, otherSlots)) {
    return `${targetSlots} slots for ${demand} requests`;
  }
  return undefined;
}

function afterWatch(facts: RolloutFacts): RolloutDecision {
  const keepWatching = (reason: string) => ({ phase: RolloutPhase.Watch, reason });
  if (timeToDeadlineMs(facts) > rampStartMs(facts) || facts.ageMs < lateStartMs(facts)) {
    return keepWatching('being watched');
  }
  const missing = undersampledRouteInWatch(facts);
  // Shortly before the deadline the version goes on regardless: the ramp brings the evidence
  // missing from the watch, and the budget covers the rest.
  if (missing !== undefined && timeToDeadlineMs(facts) > RAMP_MS + requiredShiftMs(facts)) {
    return keepWatching(`too little evidence on ${missing}`);
  }
  if (isTooLate(facts)) {
    return keepWatching('the shift cannot end before the deadline');
  }
  return phaseBudgetsOf(facts).ramp > 0
    ? { phase: RolloutPhase.Ramp, reason: 'watched long enough' }
    : afterRamp(facts);
}

function afterRamp(facts: RolloutFacts): RolloutDecision {
  const keepPhase = (reason: string) => ({ phase: facts.phase, reason });
  const missing = undersampledRouteInRamp(facts);
  if (missing !== undefined) {
    return keepPhase(`waiting for reports on ${missing}`);
  }
  if (isTooLate(facts)) {
    return { phase: RolloutPhase.Watch, reason: 'the shift cannot end before the deadline' };
  }
  if (canBeginShift(facts)) {
    return { phase: RolloutPhase.Shift, reason: 'no obstacle to the shift' };
  }
  if (canBeProven(facts) && timeToDeadlineMs(facts) <= shiftStartMs(facts, facts.exposure)) {
    return {
      phase: RolloutPhase.Shift,
      reason: 'no obstacle to the shift; to be proven in it',
    };
  }
  return keepPhase('too early for the bound');
}

/**
 * True if the shift cannot end before the deadline: beginning it would send all requests to the
 * version to no purpose. False after the deadline, when the bound no longer applies.
 */
function isTooLate(facts: RolloutFacts): boolean {
  const left = timeToDeadlineMs(facts);
  return left > 0 && left < minShiftMs(facts);
}

function afterShift(facts: RolloutFacts): RolloutDecision {
  const { phase, busyOthers, exposure, isFenced } = facts;
  const isSafe = isRestWithinBudget(facts) || isProven(facts);
  const least = requestsIn(exposure, MIN_COVERED_MS);
  const mustWait = !isSafe && !isLikelyGood(facts) && timeToDeadlineMs(facts) > 0;
  if (mustWait && isFenced && budgetNow(exposure) - exposure.taken < least) {
    return { phase: RolloutPhase.Watch, reason: 'the budget is used up' };
  }
  const missing = undersampledRouteInShift(facts);
  if (missing !== undefined) {
    return { phase, reason: `waiting for reports on ${missing}` };
  }
  if (mustWait) {
    return { phase, reason: 'too early for the bound' };
  }
  if (busyOthers > 0) {
    return { phase, reason: `${busyOthers} owners of other versions may still run requests` };
  }
  return isSafe
    ? { phase: RolloutPhase.Done, reason: 'owners of other versions run nothing' }
    : { phase, reason: 'too early for the bound' };
}

/**
 * Age of the order, in milliseconds, before which the watch must not end. It matters only for a
 * version that came up late.
 */
function lateStartMs({ ageMs, durationMs, targetAgeMs = 0 }: RolloutFacts): number {
  const firstReadyAtMs = ageMs - targetAgeMs;
  const lateMs = firstReadyAtMs + durationMs * LATE_WATCHED_SHARE;
  const last = durationMs * LAST_START_SHARE;
  return firstReadyAtMs < last ? Math.min(lateMs, last) : lateMs;
}
