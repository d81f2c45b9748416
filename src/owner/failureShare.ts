/** Measures the share of tasks that a back end fails, as a moving average. */
import type { OwnerOutcome } from './owner.js';

/** Weight of the newest outcome. */
const WEIGHT = 0.1;

/**
 * Failure value of a 5xx answer: the back end failed, but perhaps because of a call that it made.
 */
const FAILED_ANSWER_VALUE = 0.5;

const FIRST_FAILED_STATUS = 500;

/** A cancelled task counts as failed if it took more than this many times the usual time. */
const SILENT_FACTOR = 3;

/** Margin, in milliseconds, that is added to this multiple of the usual time. */
const SILENT_MARGIN_MS = 50;

/** Measures the outcomes of one back end. */
export interface FailureShare {
  /** From 0 (none fails) to 1. */
  readonly value: number;
  /** Records the outcome of a task that was sent. Times are in milliseconds. */
  note(outcome: OwnerOutcome, tookMs: number, usualMs: number): void;
  /** Records a task that has had no answer for so long that none is likely. */
  noteOverdue(): void;
  /** Sets the share to 0. Called for a new incarnation. */
  reset(): void;
}

export function createFailureShare(): FailureShare {
  let share = 0;
  return {
    get value() {
      return share;
    },
    note: (outcome, tookMs, usualMs) => {
      const failure = failureValueOf(outcome, tookMs, usualMs);
      if (failure !== undefined) {
        share += (failure - share) * WEIGHT;
      }
    },
    noteOverdue: () => {
      share += (1 - share) * WEIGHT;
    },
    reset: () => {
      share = 0;
    },
  };
}

/** Failure value from 0 to 1. Undefined if the outcome says nothing about the back end. */
function failureValueOf(
  outcome: OwnerOutcome,
  tookMs: number,
  usualMs: number,
): number | undefined {
  if (outcome.kind === 'answer') {
    return outcome.status >= FIRST_FAILED_STATUS ? FAILED_ANSWER_VALUE : 0;
  }
  if (outcome.reason === 'unread') {
    return undefined;
  }
  if (outcome.reason === 'cancelled') {
    return tookMs > usualMs * SILENT_FACTOR + SILENT_MARGIN_MS ? 1 : undefined;
  }
  return 1;
}
