/** How much of what a back end gets it fails, as a moving average. */
import type { OwnerOutcome } from './owner.js';

/** Weight of the newest outcome. */
const WEIGHT = 0.1;

/** What an answer 5xx counts: the back end failed, but perhaps over a call of its own. */
const FAILED_ANSWER = 0.5;

const FIRST_FAILED_STATUS = 500;

/** A cancelled task counts as failed when it took this many times what is usual. */
const SILENT_FACTOR = 3;

/** And at least this much longer than usual, in milliseconds. */
const SILENT_MARGIN_MS = 50;

/** Watches the outcomes of one back end. */
export interface FailureShare {
  /** From 0 (none fails) to 1. */
  readonly value: number;
  /** A task that was sent has ended; times in milliseconds. */
  note(outcome: OwnerOutcome, tookMs: number, usualMs: number): void;
  /** A task has had no answer for so long that none is likely. */
  noteOverdue(): void;
  /** Another back end is there. */
  reset(): void;
}

export function createFailureShare(): FailureShare {
  let share = 0;
  return {
    get value() {
      return share;
    },
    note: (outcome, tookMs, usualMs) => {
      const failed = failureOf(outcome, tookMs, usualMs);
      if (failed !== undefined) {
        share += (failed - share) * WEIGHT;
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

/** From 0 to 1; undefined when the outcome tells nothing of the back end. */
function failureOf(outcome: OwnerOutcome, tookMs: number, usualMs: number): number | undefined {
  if (outcome.kind === 'answer') {
    return outcome.status >= FIRST_FAILED_STATUS ? FAILED_ANSWER : 0;
  }
  if (outcome.reason === 'cancelled') {
    return tookMs > usualMs * SILENT_FACTOR + SILENT_MARGIN_MS ? 1 : undefined;
  }
  return 1;
}
