/**
 * Learns how many calls the back end on this machine makes for each request that it runs. The calls
 * begin at this node, as does every request of the back end, so one node sees both numbers.
 */
import {
  createSlidingWindowCounter,
  type SlidingWindowCounter,
} from '../model/slidingWindowCounter.js';

/** Calls per run to one service, as a mean over all runs. */
export interface CallRate {
  readonly service: string;
  readonly perRun: number;
}

/** A node has one. Every `now` is a steady time in milliseconds. */
export interface CallRates {
  /** Records that the back end was sent a request. */
  noteRun(now: number): void;
  /** Records a call of the back end to a service. */
  noteCall(service: string, now: number): void;
  /** Undefined until the back end has run enough requests. */
  current(now: number): readonly CallRate[] | undefined;
}

/** Length of the window in which runs and calls are compared, in milliseconds. */
const WINDOW_MS = 10_000;

/** Smallest number of runs in the window from which a rate is derived. */
const MIN_RUNS = 20;

/** Time for which a result is reused, in milliseconds: it is reported with every answer. */
const CACHE_MS = 250;

/** Smaller rates are left out. */
const MIN_PER_RUN = 0.01;

export function createCallRates(): CallRates {
  const runs = createSlidingWindowCounter(WINDOW_MS);
  const calls = new Map<string, SlidingWindowCounter>();
  let cached: readonly CallRate[] | undefined;
  let cachedUntil = Number.NEGATIVE_INFINITY;

  const compute = (now: number): readonly CallRate[] | undefined => {
    const runCount = runs.upperBound(now);
    if (runCount < MIN_RUNS) {
      return cached;
    }
    return [...calls].flatMap(([service, counter]) => {
      const perRun = counter.upperBound(now) / runCount;
      return perRun >= MIN_PER_RUN ? [{ service, perRun }] : [];
    });
  };

  return {
    noteRun: (now) => runs.add(now),
    noteCall: (service, now) => {
      const counter = calls.get(service) ?? createSlidingWindowCounter(WINDOW_MS);
      calls.set(service, counter);
      counter.add(now);
    },
    current: (now) => {
      if (now >= cachedUntil) {
        cached = compute(now);
        cachedUntil = now + CACHE_MS;
      }
      return cached;
    },
  };
}
