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
const CROSS_ZONE_RATIO = 0.1;

/** Large requests that may leave the zone in one go. */
const CROSS_ZONE_BURST = 2;

/** Keeps count of the large requests of one node. */
export interface CrossZoneBudget {
  /** A large request has arrived: it earns its part of one that may leave. */
  deposit(): void;
  /** Takes the leave for one large request; false when there is none left. */
  tryWithdraw(): boolean;
}

export function createCrossZoneBudget(): CrossZoneBudget {
  let left = CROSS_ZONE_BURST;
  return {
    deposit: () => {
      left = Math.min(CROSS_ZONE_BURST, left + CROSS_ZONE_RATIO);
    },
    tryWithdraw: () => {
      if (left < 1) {
        return false;
      }
      left -= 1;
      return true;
    },
  };
}
