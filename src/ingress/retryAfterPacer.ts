/**
 * When refused clients are told to come back. All that an ingress refuses for want of room would
 * come back at the same moment and be refused again; so they are put in a line that nobody holds
 * in memory: each is told a time at which one more request is likely to be served, at the pace at
 * which this ingress has seen its requests served.
 */
import {
  createSlidingWindowCounter,
  type SlidingWindowCounter,
} from '../model/slidingWindowCounter.js';

/** The pace is taken from so many milliseconds. */
const PACE_WINDOW_MS = 1_000;

/** Bounds of what a client is told, in milliseconds. */
const MIN_RETURN_MS = 20;
const MAX_RETURN_MS = 1_000;

interface Line {
  readonly served: SlidingWindowCounter;
  /** Steady time in milliseconds of the last return that was told. */
  lastReturnAt: number;
}

/** Kept for each service by the ingress; `now` is a steady time in milliseconds. */
export interface RetryAfterPacer {
  /** A request has its answer from a back end. */
  noteServed(service: string, now: number): void;
  /** Milliseconds after which a client is to come back; `waitMs` is when there may be room at all. */
  nextRetryAfterMs(service: string, waitMs: number, now: number): number;
}

export function createRetryAfterPacer(): RetryAfterPacer {
  const lines = new Map<string, Line>();
  const lineOf = (service: string): Line => {
    const known = lines.get(service);
    if (known) {
      return known;
    }
    const created = {
      served: createSlidingWindowCounter(PACE_WINDOW_MS),
      lastReturnAt: Number.NEGATIVE_INFINITY,
    };
    lines.set(service, created);
    return created;
  };
  return {
    noteServed: (service, now) => lineOf(service).served.add(now),
    nextRetryAfterMs: (service, waitMs, now) => {
      const line = lineOf(service);
      const served = line.served.upperBound(now);
      // Before anything has been served, the pace is not known.
      const gapMs = served > 0 ? PACE_WINDOW_MS / served : 0;
      const returnAt = Math.max(line.lastReturnAt + gapMs, now + Math.max(MIN_RETURN_MS, waitMs));
      line.lastReturnAt = Math.min(returnAt, now + MAX_RETURN_MS);
      return line.lastReturnAt - now;
    },
  };
}
