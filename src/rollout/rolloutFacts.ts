/** What the decider of a roll-out knows, and the time that the last step needs. Times in milliseconds. */

import { type Exposure, isWithinBudget } from './exposure.js';
import { RolloutPhase } from './rolloutOrder.js';
import type { RouteTraffic } from './serviceTraffic.js';
import type { ComparisonSummary } from './versionComparison.js';

/**
 * What the last step needs besides its reports, its status and what the others run, in milliseconds: the
 * word to all nodes, the first reports of the step and a look at them.
 */
const TURN_MS = 200;

/** And what is kept for a node that is late for a moment. */
export const RESERVE_MS = 300;

/** Evidence against the version with which it gets nothing more for now, though it isn't bad yet. */
export const DOUBT_WEIGHT = 4;

/** Owners with the version report about so often in the last step, in milliseconds. */
export const REPORT_INTERVAL_MS = 100;

/** What the decider knows. Times are in milliseconds. */
export interface RolloutFacts {
  readonly phase: RolloutPhase;
  readonly phaseAgeMs: number;
  /** Since the order. */
  readonly ageMs: number;
  readonly durationMs: number;
  /** How late the order may have been learnt of, and how long its status takes to write. */
  readonly storeMs: number;
  /** How old reports are when they come. */
  readonly reportMs: number;
  /** In which nearly all requests end at the others. */
  readonly othersEndMs: number;
  /** Since the version was first there; undefined while it never was. */
  readonly targetAgeMs: number | undefined;
  readonly comparison: ComparisonSummary;
  readonly routes: readonly RouteTraffic[];
  readonly exposure: Exposure;
  /** Owners of the service that are up, and those of them that have reported lately. */
  readonly owners: number;
  readonly reporting: number;
  /** Owners with the target version that are up, and their slots. */
  readonly targets: number;
  readonly targetSlots: number;
  /** Slots of the owners of other versions that are ready. */
  readonly otherSlots: number;
  /** True if the others have been told to take nothing new. */
  readonly isFenced: boolean;
  /** Requests that all owners of the service have and work on. */
  readonly demand: number;
  /** Owners of other versions that still run something or take new work, as far as known. */
  readonly busyOthers: number;
}

/** Milliseconds until the deadline; the order may have been learnt of late. */
export function timeToDeadlineMs({ durationMs, ageMs, storeMs }: RolloutFacts): number {
  return durationMs - ageMs - storeMs;
}

/** Time that the last step needs for its end, with nothing in reserve. */
export function minShiftMs({ reportMs, othersEndMs, storeMs }: RolloutFacts): number {
  return TURN_MS + reportMs + othersEndMs + storeMs;
}

export function requiredShiftMs(facts: RolloutFacts): number {
  return minShiftMs(facts) + RESERVE_MS;
}

/** What speaks against the version, but not enough, is to be settled soon. */
export function isInDoubt({ comparison }: RolloutFacts): boolean {
  return comparison.doubt !== undefined || comparison.weight >= DOUBT_WEIGHT;
}

/** The bound holds until the deadline. */
export function isPastDeadline({ ageMs, durationMs }: RolloutFacts): boolean {
  return ageMs >= durationMs;
}

/** Time until the deadline, with that of the last step of which nothing has been told yet. */
export function unreportedMs(facts: RolloutFacts): number {
  const { phase, phaseAgeMs, reportMs, durationMs, ageMs } = facts;
  const untold =
    phase === RolloutPhase.Shift ? Math.min(phaseAgeMs, reportMs + REPORT_INTERVAL_MS) : 0;
  return Math.max(0, durationMs - ageMs) + untold;
}

/** True if all requests may go to the version until the deadline, or no bound holds any longer. */
export function isRestWithinBudget(facts: RolloutFacts): boolean {
  return isPastDeadline(facts) || isWithinBudget(facts.exposure, unreportedMs(facts));
}
