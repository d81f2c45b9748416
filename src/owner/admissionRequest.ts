/** What a task asks of the admission control, its place in the queue and how long it can wait. */

import { PRIORITIES } from '../tenants/priority.js';

/** What a task asks for. */
export interface AdmissionRequest {
  readonly route: string;
  readonly priority: number;
  /** Steady time in milliseconds until which an answer is worth most. */
  readonly targetAt: number;
  readonly deadlineAt: number;
  /** False if the task is turned away unless a slot is free. */
  readonly mayWait: boolean;
  /** True if nothing else may run beside the task. */
  readonly runsAlone?: boolean;
  /** True if a running back end waits for the answer. */
  readonly isCall?: boolean;
  /** True if its client was refused before and has come back as it was told. */
  readonly hasWaited?: boolean;
}

/** What is told of a task that has ended. */
export type AdmittedTask = Pick<
  AdmissionRequest,
  'route' | 'priority' | 'runsAlone' | 'isCall' | 'hasWaited'
>;

/** Order within a priority. */
enum Turn {
  /** A running back end waits for the answer. */
  Call = 0,
  /** The client has waited as it was told. */
  Returned = 1,
  New = 2,
}

const TURNS = 3;

/** Ranks of one whole priority: those of its routes, and the turns of each. */
const RANKS = PRIORITIES * TURNS;

/** Place in the queue: by priority, then by standing. */
export function rankOf({ priority, isCall, hasWaited }: AdmittedTask): number {
  if (isCall) {
    return RANKS * priority + Turn.Call;
  }
  return RANKS * priority + (hasWaited ? Turn.Returned : Turn.New);
}

/** The best rank of a task's priority. */
export function firstRankOf({ priority }: AdmittedTask): number {
  return RANKS * priority;
}

/**
 * A task that can no longer meet its target is not worth a slot that others can use in time. A call is
 * worth one up to its deadline: what its parent has run so far is lost if it fails.
 */
export function horizonOf({ isCall, targetAt, deadlineAt }: AdmissionRequest): number {
  return isCall ? deadlineAt : Math.min(targetAt, deadlineAt);
}
