/**
 * Limits how many large requests may leave their zone while owners in the zone are up.
 *
 * Traffic between zones is expensive, and one large body costs as much as dozens of small requests.
 * While the zone's owners are only busy, it is better to refuse a large request with an accurate
 * retry time than to send it to another zone: only a small share may leave.
 */

/** A request body of this size, in bytes, or above is large. */
export const LARGE_BODY_BYTES = 16 * 1024;

/** Share of the large requests that may leave the zone. */
const CROSS_ZONE_RATIO = 0.1;

/** Large requests that may leave the zone in one burst. */
const CROSS_ZONE_BURST = 2;

/** Token bucket for the large requests of one node. */
export interface CrossZoneBudget {
  /** Adds a large request's share of a token; called when the request arrives. */
  deposit(): void;
  /** Takes the token for one large request to leave the zone; false if none is available. */
  tryWithdraw(): boolean;
}

export function createCrossZoneBudget(): CrossZoneBudget {
  let tokens = CROSS_ZONE_BURST;
  return {
    deposit: () => {
      tokens = Math.min(CROSS_ZONE_BURST, tokens + CROSS_ZONE_RATIO);
    },
    tryWithdraw: () => {
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}
