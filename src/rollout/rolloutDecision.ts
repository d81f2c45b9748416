/**
 * What becomes of a roll-out next: a pure function of what its decider knows.
 *
 * Most of the time that the operator gives goes into watching the version at a small share: it may
 * turn bad late. Then it gets a larger share for a moment, then all that is new, so that the others
 * can finish what they run: at `completed` they stop at once, with whatever they still run.
 */

import { RolloutPhase } from './rolloutOrder.js';
import type { ComparisonSummary } from './versionComparison.js';

/** Part of the order's duration for which the version is watched, at least, before it gets more. */
const WATCHED_SHARE = 0.68;

/** A version that has come late is watched for this part of the duration after it has come, ... */
const LATE_WATCHED_SHARE = 0.45;

/** ... though no longer than until this part of the duration is over, if it came before that. */
const LAST_START_SHARE = 0.8;

/** The larger share is given for so long, in milliseconds: some reports of every owner. */
const RAMP_MS = 1_000;

/** All that is new goes to the version for so long at least, in milliseconds, before it is done. */
const SHIFT_MS = 1_200;

/**
 * After the last step, in milliseconds: the others end what they run, tell it with their next reports
 * half a second apart, and the status is written, each of them once again if the first try is lost.
 */
const ENDING_MS = 1_500;

/** What a short order leaves for its last steps, in milliseconds. */
const LAST_STEPS_MS = RAMP_MS + SHIFT_MS + ENDING_MS;

/**
 * Requests that the version must have finished: a version that fails half of its requests, as bad
 * ones do, passes so many without a failure once in a thousand times.
 */
const NEEDED_RUNS = 10;

/** Evidence against the version with which it gets nothing more for now, though it isn't bad yet. */
const DOUBT = 4;

/** The same without the back end that the evidence rests on most: a machine in trouble is no doubt of the version. */
const DOUBT_WITHOUT_ONE = 2;

/** Part of the owners of the service that must have reported lately for a step forward. */
const QUORUM = 0.6;

/** What the decider knows. Ages are in milliseconds. */
export interface RolloutFacts {
  readonly phase: RolloutPhase;
  readonly phaseAgeMs: number;
  /** Since the order. */
  readonly ageMs: number;
  readonly durationMs: number;
  /** Since the version was first there; undefined while it never was. */
  readonly targetAgeMs: number | undefined;
  readonly comparison: ComparisonSummary;
  /** Owners of the service that are up, and those of them that have reported lately. */
  readonly owners: number;
  readonly reporting: number;
  /** Owners with the target version that are up, and their slots. */
  readonly targets: number;
  readonly targetSlots: number;
  /** Slots of the owners of other versions that are ready. */
  readonly otherSlots: number;
  /** Requests that all owners of the service have and work on. */
  readonly demand: number;
  /** Owners of other versions that still run something or take new work, as far as known. */
  readonly busyOthers: number;
}

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
    const { measure, route } = comparison;
    return { phase: RolloutPhase.Halt, reason: `in doubt at the deadline: ${measure} ${route}` };
  }
  const obstacle = obstacleTo(facts);
  if (obstacle) {
    return { phase: RolloutPhase.Watch, reason: obstacle };
  }
  switch (phase) {
    case RolloutPhase.Watch:
      return { phase: RolloutPhase.Ramp, reason: 'watched long enough' };
    case RolloutPhase.Ramp:
      return facts.phaseAgeMs < RAMP_MS
        ? { phase, reason: 'a larger share' }
        : { phase: RolloutPhase.Shift, reason: 'well at the larger share' };
    default:
      return afterShift(facts);
  }
}

/**
 * A version in doubt gets few requests, so little more may be learnt of it. Once its last steps cannot be over
 * by the deadline, a good one is late in any case, and a bad one must not stay.
 */
function isDoubtedAtDeadline({ phase, comparison, ageMs, durationMs }: RolloutFacts): boolean {
  const isLastMoment = ageMs >= durationMs - ENDING_MS && ageMs < durationMs;
  return (
    phase === RolloutPhase.Watch &&
    isLastMoment &&
    comparison.weight >= DOUBT &&
    comparison.weightWithoutOne >= DOUBT_WITHOUT_ONE
  );
}

function afterShift({ phase, phaseAgeMs, busyOthers }: RolloutFacts): RolloutDecision {
  if (phaseAgeMs < SHIFT_MS) {
    return { phase, reason: 'all that is new' };
  }
  return busyOthers > 0
    ? { phase, reason: `${busyOthers} owners of other versions still run requests` }
    : { phase: RolloutPhase.Done, reason: 'the others run nothing' };
}

/** Why the version must not get more than a small share now, if so. */
function obstacleTo(facts: RolloutFacts): string | undefined {
  const { comparison, targets, targetSlots, otherSlots, demand, owners, reporting } = facts;
  if (targets === 0 || facts.targetAgeMs === undefined) {
    return 'no back end of the version is up';
  }
  if (facts.ageMs < startMs(facts, facts.targetAgeMs)) {
    return 'being watched';
  }
  if (comparison.weight >= DOUBT) {
    return `in doubt: ${comparison.measure} ${comparison.route}`;
  }
  if (reporting < owners * QUORUM) {
    return `${reporting} of ${owners} owners report`;
  }
  // In an overload nobody has room for all: the version is to have no less than the others.
  if (targetSlots < Math.min(demand, otherSlots)) {
    return `${targetSlots} slots for ${demand} requests`;
  }
  const isWatched = facts.phase === RolloutPhase.Watch;
  return isWatched && !hasEvidence(facts) ? 'too little evidence' : undefined;
}

/** Age of the order at which the version gets more, in milliseconds. */
function startMs({ ageMs, durationMs }: RolloutFacts, targetAgeMs: number): number {
  const cameMs = ageMs - targetAgeMs;
  const lateMs = cameMs + durationMs * LATE_WATCHED_SHARE;
  const last = durationMs * LAST_START_SHARE;
  const watchedMs = Math.min(durationMs * WATCHED_SHARE, durationMs - LAST_STEPS_MS);
  return Math.max(watchedMs, cameMs < last ? Math.min(lateMs, last) : lateMs);
}

/**
 * Near the deadline the larger share brings the evidence that the small one has not: on a service
 * with so few requests it reaches few callers too.
 */
function hasEvidence({ comparison, ageMs, durationMs }: RolloutFacts): boolean {
  return comparison.finished >= NEEDED_RUNS || ageMs >= durationMs * LAST_START_SHARE;
}
