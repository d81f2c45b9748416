/** Waits for the end of outcomes: an answer that is passed on while it arrives may still break off. */
import type { OwnerOutcome, UnknownReason } from './owner.js';

/**
 * Calls back when an outcome is final: at once, or when the rest of a streamed answer has been read
 * or has broken off. An answer that has broken off is final as `unknown`, with the reason.
 */
export function whenEnded(
  outcome: OwnerOutcome,
  callback: (finalOutcome: OwnerOutcome) => void,
): void {
  if (outcome.kind !== 'answer' || !outcome.end) {
    callback(outcome);
    return;
  }
  void outcome.end.then((reason) => callback(finalOf(outcome, reason)));
}

/**
 * Like {@link whenEnded} for a callback that takes time. Resolves with the outcome after the
 * callback; for a streamed answer, at once, and then the answer's end resolves after the callback.
 */
export async function afterEnd(
  outcome: OwnerOutcome,
  callback: (finalOutcome: OwnerOutcome) => Promise<void>,
): Promise<OwnerOutcome> {
  if (outcome.kind !== 'answer' || !outcome.end) {
    await callback(outcome);
    return outcome;
  }
  const end = outcome.end.then(async (reason) => {
    await callback(finalOf(outcome, reason));
    return reason;
  });
  return { ...outcome, end };
}

function finalOf(outcome: OwnerOutcome, reason: UnknownReason | undefined): OwnerOutcome {
  return reason === undefined ? outcome : { kind: 'unknown', reason };
}
