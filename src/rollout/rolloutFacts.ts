/** The facts that the decider of a roll-out decides on, and the time that the shift needs. */

import { type Exposure, isWithinBudget } from './exposure.js';
import { RolloutPhase } from './rolloutOrder.js';
import type { RouteTraffic } from './serviceTraffic.js';
import type { ComparisonSummary } from './versionComparison.js';

/**
 * Milliseconds that the shift needs besides the delay of reports, the end of the others' requests
 * and the write of the status: for the announcement to all nodes, the first reports of the shift
 * and a decision on them.
 */
const TURN_MS = 200;

/** Milliseconds kept in reserve for a node that is late for a moment. */
export const RESERVE_MS = 300;

/**
 * Weight of the evidence against the version from which on it is in doubt: it gets no larger share
 * for now, though it is not considered bad yet.
 */
export const DOUBT_WEIGHT = 4;

/**
 * Approximate time between two reports of an owner with the version in the shift, in milliseconds.
 */
export const REPORT_INTERVAL_MS = 100;

/** Facts about a roll-out at one moment. Times are in milliseconds. */
export interface RolloutFacts {
  readonly phase: RolloutPhase;
  readonly phaseAgeMs: number;
  /** Time since the order. */
  readonly ageMs: number;
  readonly durationMs: number;
  /**
   * Time that a call to the store takes: the node may have learned of the order that late, and the
   * write of its status takes as long.
   */
  readonly storeMs: number;
  /** Median age of reports when they arrive. */
  readonly reportMs: number;
  /** Time within which nearly all requests end at the others. */
  readonly othersEndMs: number;
  /** Time since a back end of the version was first ready; undefined while none is. */
  readonly targetAgeMs: number | undefined;
  readonly comparison: ComparisonSummary;
  readonly routes: readonly RouteTraffic[];
  readonly exposure: Exposure;
  /** Owners of the service that are up. */
  readonly owners: number;
  /** Owners that have reported recently. */
  readonly reporting: number;
  /** Owners whose back end has the target version and is ready. */
  readonly targets: number;
  /** Slots of these owners. */
  readonly targetSlots: number;
  /** Slots of the owners of other versions whose back end is ready. */
  readonly otherSlots: number;
  /** True if the plan tells the owners of other versions to accept nothing new. */
  readonly isFenced: boolean;
  /** Requests that run or wait at all owners of the service. */
  readonly demand: number;
  /** Owners of other versions that still run requests or accept new ones, or may do so. */
  readonly busyOthers: number;
}

/**
 * Milliseconds until the deadline, less the time by which the order may have been learned of late.
 */
export function timeToDeadlineMs({ durationMs, ageMs, storeMs }: RolloutFacts): number {
  return durationMs - ageMs - storeMs;
}

/** Milliseconds that the shift needs to end, with nothing in reserve. */
export function minShiftMs({ reportMs, othersEndMs, storeMs }: RolloutFacts): number {
  return TURN_MS + reportMs + othersEndMs + storeMs;
}

/** Milliseconds that the shift needs to end, with the reserve. */
export function requiredShiftMs(facts: RolloutFacts): number {
  return minShiftMs(facts) + RESERVE_MS;
}

/**
 * True if there is evidence against the version, but not enough to call it bad. Such a doubt is to
 * be settled soon.
 */
export function isInDoubt({ comparison }: RolloutFacts): boolean {
  return comparison.doubt !== undefined || comparison.weight >= DOUBT_WEIGHT;
}

/** True after the deadline, when the bound on exposure no longer applies. */
export function isPastDeadline({ ageMs, durationMs }: RolloutFacts): boolean {
  return ageMs >= durationMs;
}

/**
 * Milliseconds whose requests no report covers yet: those until the deadline, and in the shift
 * those that have passed since the latest reports.
 */
export function unreportedMs(facts: RolloutFacts): number {
  const { phase, phaseAgeMs, reportMs, durationMs, ageMs } = facts;
  const notYetReported =
    phase === RolloutPhase.Shift ? Math.min(phaseAgeMs, reportMs + REPORT_INTERVAL_MS) : 0;
  return Math.max(0, durationMs - ageMs) + notYetReported;
}

/** True if the budget covers all requests until the deadline, or the deadline is over. */
export function isRestWithinBudget(facts: RolloutFacts): boolean {
  return isPastDeadline(facts) || isWithinBudget(facts.exposure, unreportedMs(facts));
}
