/**
 * Spreads the retry times of clients that were refused because owners were busy. With equal times,
 * all of these clients would retry at the same moment and be refused again. Each client therefore
 * gets a time at which one more request is likely to be served, at the pace at which requests of
 * this ingress are being served. No queue is stored, only the last time given for each service.
 */
import {
  createSlidingWindowCounter,
  type SlidingWindowCounter,
} from '../model/slidingWindowCounter.js';

/** Window in milliseconds over which served requests are counted. */
const PACE_WINDOW_MS = 1_000;

/** Smallest and largest time to retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 20;
const MAX_RETRY_AFTER_MS = 1_000;

interface ServicePace {
  readonly served: SlidingWindowCounter;
  /** Steady time in milliseconds of the last retry time that was given to a client. */
  lastRetryAt: number;
}

/** Paces each service separately. `now` is the steady time in milliseconds. */
export interface RetryAfterPacer {
  /** Counts a request that a back end has answered. */
  noteServed(service: string, now: number): void;
  /**
   * Milliseconds after which a client may retry. `waitMs` is the time in milliseconds before which
   * no owner is expected to have a free slot.
   */
  nextRetryAfterMs(service: string, waitMs: number, now: number): number;
}

export function createRetryAfterPacer(): RetryAfterPacer {
  const paces = new Map<string, ServicePace>();
  const paceOf = (service: string): ServicePace => {
    const existing = paces.get(service);
    if (existing) {
      return existing;
    }
    const created = {
      served: createSlidingWindowCounter(PACE_WINDOW_MS),
      lastRetryAt: Number.NEGATIVE_INFINITY,
    };
    paces.set(service, created);
    return created;
  };
  return {
    noteServed: (service, now) => paceOf(service).served.add(now),
    nextRetryAfterMs: (service, waitMs, now) => {
      const pace = paceOf(service);
      const served = pace.served.upperBound(now);
      // The pace is unknown until a request has been served.
      const gapMs = served > 0 ? PACE_WINDOW_MS / served : 0;
      const retryAt = Math.max(
        pace.lastRetryAt + gapMs,
        now + Math.max(MIN_RETRY_AFTER_MS, waitMs),
      );
      pace.lastRetryAt = Math.min(retryAt, now + MAX_RETRY_AFTER_MS);
      return pace.lastRetryAt - now;
    },
  };
}
