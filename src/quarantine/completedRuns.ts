/** Records the requests that have recently completed on a back end of this node. */
import { keyText, type RequestKey } from './requestKey.js';

/**
 * A request that completed here within this many milliseconds is not blamed for a crash at which
 * others were in flight too. A request that many clients send therefore stays clear, though it is
 * in flight at nearly every crash.
 */
const COMPLETED_MS = 10_000;

/** Number of completed requests recorded: 400 a second over COMPLETED_MS. */
const MAX_COMPLETED = 4_096;

/** Recently completed requests; `now` is monotonic, in milliseconds. */
export interface CompletedRuns {
  has(key: RequestKey, now: number): boolean;
  note(key: RequestKey, now: number): void;
}

export function createCompletedRuns(): CompletedRuns {
  /** Monotonic times in milliseconds at which runs completed, oldest first. */
  const completed = new Map<string, number>();
  return {
    has: (key, now) =>
      now - (completed.get(keyText(key)) ?? Number.NEGATIVE_INFINITY) < COMPLETED_MS,
    note: (key, now) => {
      const text = keyText(key);
      // Inserted again to keep the order of completion.
      completed.delete(text);
      completed.set(text, now);
      if (completed.size > MAX_COMPLETED) {
        completed.delete(completed.keys().next().value as string);
      }
    },
  };
}
