/** Adds up the events of a sliding window. It stores one sum for each part of the window. */

/** Number of parts of a window. A count is wrong by at most the events of one part. */
const PARTS = 20;

/** A counter of events; `now` is the steady time in milliseconds. */
export interface SlidingWindowCounter {
  /** Counts one event, or one that weighs `amount`. */
  add(now: number, amount?: number): void;
  /** Takes back what was added at an earlier time, if that time is still in the window. */
  remove(at: number, amount: number): void;
  /** Number of events in the window, including all of the part that is just leaving it. */
  upperBound(now: number): number;
  /** Number of events in the window, without the part that is just leaving it. */
  lowerBound(now: number): number;
}

/** `windowMs` is the length of the window in milliseconds. */
export function createSlidingWindowCounter(windowMs: number): SlidingWindowCounter {
  const partMs = windowMs / PARTS;
  const counts = new Array<number>(PARTS + 1).fill(0);
  let newest = Number.NEGATIVE_INFINITY;

  const advance = (now: number): void => {
    const part = Math.floor(now / partMs);
    const stale = Math.min(PARTS + 1, part - newest);
    for (let step = 0; step < stale; step += 1) {
      counts[(part - step) % (PARTS + 1)] = 0;
    }
    newest = Math.max(newest, part);
  };
  const addToPart = (part: number, amount: number): void => {
    const index = part % (PARTS + 1);
    counts[index] = (counts[index] ?? 0) + amount;
  };
  const sum = () => counts.reduce((total, count) => total + count, 0);

  return {
    add: (now, amount = 1) => {
      advance(now);
      addToPart(newest, amount);
    },
    remove: (at, amount) => {
      const part = Math.floor(at / partMs);
      if (part >= newest - PARTS) {
        addToPart(part, -amount);
      }
    },
    upperBound: (now) => {
      advance(now);
      return sum();
    },
    lowerBound: (now) => {
      advance(now);
      return sum() - (counts[(newest + 1) % (PARTS + 1)] ?? 0);
    },
  };
}
