/** Offers a request to one owner and follows the offer until its outcome is final. */
import type { OwnerEntry } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import { Cancellation } from '../owner/cancellation.js';
import { whenEnded } from '../owner/outcomeEnd.js';
import type { OwnerOutcome, OwnerTask } from '../owner/owner.js';

/** The owner that has the request no longer sends any messages. It may still answer. */
export const SILENT = 'silent';

export interface Attempt {
  readonly entry: OwnerEntry;
  /** Number of earlier offers of the same request. */
  readonly earlierOffers: number;
  /** Steady time of the offer, in milliseconds. */
  readonly startedAt: number;
  /** Never rejects. */
  readonly outcome: Promise<OwnerOutcome>;
  /** Resolves if the owner falls silent; see {@link SILENT}. Never rejects. */
  readonly silence: Promise<typeof SILENT>;
  /** Cancels the request at this owner, also in the middle of a streamed answer. */
  cancel(): void;
}

/** The input of {@link startAttempt}. */
export interface AttemptContext {
  readonly entry: OwnerEntry;
  readonly task: OwnerTask;
  /** False if the owner must reject the task unless a slot is free. */
  readonly mayWait: boolean;
  readonly clock: Clock;
  readonly earlierOffers: number;
}

/** Offers a task to an owner. */
export function startAttempt({
  entry,
  task,
  mayWait,
  clock,
  earlierOffers,
}: AttemptContext): Attempt {
  const cancellation = new Cancellation();
  const removeListener = task.cancellation.onCancel(() => cancellation.cancel());
  let fallSilent: (silent: typeof SILENT) => void = () => {};
  const silence = new Promise<typeof SILENT>((resolve) => {
    fallSilent = resolve;
  });
  const startedAt = clock.now();
  entry.outstanding += 1;
  const outcome = entry.owner.run({
    ...task,
    mayWait,
    cancellation,
    onProgress: (stage) => {
      if (stage === SILENT) {
        fallSilent(SILENT);
      }
    },
  });
  const onEnded = (): void => {
    entry.outstanding -= 1;
    removeListener();
  };
  void outcome.then((result) => whenEnded(result, onEnded));
  return { entry, earlierOffers, startedAt, outcome, silence, cancel: () => cancellation.cancel() };
}
