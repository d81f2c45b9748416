/**
 * Limits the requests that an owner passes to its back end of the target version. The leader raises
 * the limits of all owners so that their sum never exceeds the budget at that time. The sum
 * therefore stays within the bound however requests are spread over the owners and however late
 * messages arrive.
 */

/** A limit as the leader sends it. */
export interface RunLimit {
  /** Total number of requests since the count began. */
  readonly limit: number;
  /**
   * True while there is no limit: the version is likely good, all owners have it, or the deadline
   * is over.
   */
  readonly isUnlimited: boolean;
}

/** The limiter that an owner keeps for each order. */
export interface RunLimiter {
  /** Requests that were admitted and not released. */
  readonly taken: number;
  readonly limit: number;
  /** True once a leader has sent a limit. */
  readonly hasLimit: boolean;
  /** Admits a request if the limit allows it. */
  tryAcquire(): boolean;
  /** Returns the place of an admitted request that did not reach the back end. */
  release(): void;
  raiseLimit(allowed: RunLimit): void;
}

/** Permit for a request that a roll-out admits to the back end. */
export interface RunPermit {
  /** Ends the request; `hasArrived` is false if it certainly did not reach the back end. */
  finish(hasArrived: boolean): void;
}

/** Permit for a request that no roll-out limits. */
export const UNCONDITIONAL_PERMIT: RunPermit = { finish: () => {} };

/** Creates a limiter that admits nothing until the first limit arrives. */
export function createRunLimiter(): RunLimiter {
  let taken = 0;
  let limit = 0;
  let isUnlimited = false;
  let hasLimit = false;
  return {
    get taken() {
      return taken;
    },
    get limit() {
      return limit;
    },
    get hasLimit() {
      return hasLimit;
    },
    tryAcquire: () => {
      if (!isUnlimited && taken >= limit) {
        return false;
      }
      taken += 1;
      return true;
    },
    release: () => {
      taken -= 1;
    },
    raiseLimit: (allowed) => {
      // Messages may overtake one another, and the owner may have used up a limit that it was
      // given.
      limit = Math.max(limit, allowed.limit);
      isUnlimited = allowed.isUnlimited;
      hasLimit = true;
    },
  };
}
