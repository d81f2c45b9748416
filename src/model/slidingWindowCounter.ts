/** Counts events of the latest window, by parts of the window so that memory stays small. */

/** Parts of a window: the count is off by the events of one part at the most. */
const PARTS = 20;

/** Events of one kind. */
export interface SlidingWindowCounter {
  /** Takes note of one event. */
  add(now: number): void;
  /** Events of the last whole window; those of the part that is just leaving it are counted too. */
  upperBound(now: number): number;
  /** The same without the part that is just leaving the window. */
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
  const sum = () => counts.reduce((total, count) => total + count, 0);

  return {
    add: (now) => {
      advance(now);
      const index = newest % (PARTS + 1);
      counts[index] = (counts[index] ?? 0) + 1;
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
