/**
 * How many large requests may leave their zone although owners of it are up.
 *
 * Bytes between zones are dear, and one large body weighs as much as dozens of
 * small requests. While the zone's owners are merely busy, a large request is
 * better refused with a true time to come back than sent away: only a small share
 * may go.
 */

/** A request body of this size, in bytes, or above is large. */
export const LARGE_BODY_BYTES = 16 * 1024;

/** Part of the large requests that may leave the zone. */
const SPILL_RATIO = 0.1;

/** Large requests that may leave the zone in one go. */
const SPILL_BURST = 2;

/** Keeps count of the large requests of one node. */
export interface SpillAllowance {
  /** A large request has arrived: it earns its part of one that may leave. */
  earn(): void;
  /** Takes the leave for one large request; false when there is none left. */
  take(): boolean;
}

export function createSpillAllowance(): SpillAllowance {
  let left = SPILL_BURST;
  return {
    earn: () => {
      left = Math.min(SPILL_BURST, left + SPILL_RATIO);
    },
    take: () => {
      if (left < 1) {
        return false;
      }
      left -= 1;
      return true;
    },
  };
}
