/** Waits for the end of outcomes: an answer that is passed on while it arrives may still break off. */
import type { OwnerOutcome } from './owner.js';

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
  void outcome.end.then((reason) =>
    callback(reason === undefined ? outcome : { kind: 'unknown', reason }),
  );
}
