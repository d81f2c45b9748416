/** Requests that have run to their end on a back end here lately. */
import { keyText, type RequestKey } from './requestKey.js';

/**
 * What has run to its end here within this time, in milliseconds, is not to blame for a crash beside
 * others: so a request that many clients send alike stays clear, though it is under nearly every crash.
 */
const COMPLETED_MS = 10_000;

/** Requests that are remembered as completed: 400 a second for as long as they count. */
const MAX_COMPLETED = 4_096;

/** `now` is a steady time in milliseconds. */
export interface CompletedRuns {
  has(key: RequestKey, now: number): boolean;
  note(key: RequestKey, now: number): void;
}

export function createCompletedRuns(): CompletedRuns {
  /** Steady times in milliseconds of runs that ended well, the oldest first. */
  const completed = new Map<string, number>();
  return {
    has: (key, now) =>
      now - (completed.get(keyText(key)) ?? Number.NEGATIVE_INFINITY) < COMPLETED_MS,
    note: (key, now) => {
      const text = keyText(key);
      // Put in anew, so that the order stays that of the runs.
      completed.delete(text);
      completed.set(text, now);
      if (completed.size > MAX_COMPLETED) {
        completed.delete(completed.keys().next().value as string);
      }
    },
  };
}
