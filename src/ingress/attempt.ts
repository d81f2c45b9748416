/** A request at one owner, from its offer to its outcome. */
import type { OwnerEntry } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import { Cancellation } from '../owner/cancellation.js';
import type { OwnerOutcome, OwnerTask } from '../owner/owner.js';

/** The owner is not heard of any longer, though it may still answer. */
export const SILENT = 'silent';

export interface Attempt {
  readonly entry: OwnerEntry;
  /** Offers that the request had made before. */
  readonly earlierOffers: number;
  /** Steady time in milliseconds. */
  readonly startedAt: number;
  /** Never rejects. */
  readonly outcome: Promise<OwnerOutcome>;
  /** Resolves if the owner falls silent. */
  readonly silence: Promise<typeof SILENT>;
  /** Nobody waits for the outcome any longer. */
  cancel(): void;
}

/** What an attempt is made of. */
export interface AttemptContext {
  readonly entry: OwnerEntry;
  readonly task: OwnerTask;
  /** False if the owner is to turn the task away unless a slot is free. */
  readonly mayWait: boolean;
  readonly clock: Clock;
  readonly earlierOffers: number;
}

/** Offers the task to an owner. */
export function startAttempt({
  entry,
  task,
  mayWait,
  clock,
  earlierOffers,
}: AttemptContext): Attempt {
  const cancellation = new Cancellation();
  const release = task.cancellation.onCancel(() => cancellation.cancel());
  let fallSilent: (silent: typeof SILENT) => void = () => {};
  const silence = new Promise<typeof SILENT>((resolve) => {
    fallSilent = resolve;
  });
  const startedAt = clock.now();
  entry.outstanding += 1;
  const outcome = entry.owner
    .run({
      ...task,
      mayWait,
      cancellation,
      onProgress: (stage) => {
        if (stage === SILENT) {
          fallSilent(SILENT);
        }
      },
    })
    .finally(() => {
      entry.outstanding -= 1;
      release();
    });
  return { entry, earlierOffers, startedAt, outcome, silence, cancel: () => cancellation.cancel() };
}
