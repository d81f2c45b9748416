/**
 * How many requests an owner gives its back end of the target version. The decider raises the limits of all
 * owners together, never above what the version may get by then: however the requests are spread, however
 * late reports and words are, the sum stays inside the bound.
 */

/** What the decider allows. */
export interface RunLimit {
  /** Requests in all, since the count began. */
  readonly limit: number;
  /** True while there is no limit: the version has proved itself, or nobody else can serve. */
  readonly isUnlimited: boolean;
}

/** Kept by an owner for each order. */
export interface RunLimiter {
  /** Requests that were let through and not given back. */
  readonly taken: number;
  readonly limit: number;
  /** True once a decider has told a limit. */
  readonly hasLimit: boolean;
  /** Lets a request through, if it may go on. */
  tryAcquire(): boolean;
  /** A request that was let through has not reached the back end. */
  release(): void;
  raiseLimit(allowed: RunLimit): void;
}

/** A request that a roll-out lets through to the back end. */
export interface RunPermit {
  /** It has ended; `hasArrived` is false if it has certainly not reached the back end. */
  finish(hasArrived: boolean): void;
}

/** No roll-out has anything to say of the request. */
export const UNCONDITIONAL_PERMIT: RunPermit = { finish: () => {} };

/** Nothing passes before the first word of a decider. */
export function createRunLimiter(): RunLimiter {
  let taken = 0;
  let limit = 0;
  let isOpen = false;
  let isTold = false;
  return {
    get taken() {
      return taken;
    },
    get limit() {
      return limit;
    },
    get hasLimit() {
      return isTold;
    },
    tryAcquire: () => {
      if (!isOpen && taken >= limit) {
        return false;
      }
      taken += 1;
      return true;
    },
    release: () => {
      taken -= 1;
    },
    raiseLimit: (allowed) => {
      // Words may overtake one another, and a limit that was given has been spent.
      limit = Math.max(limit, allowed.limit);
      isOpen = allowed.isUnlimited;
      isTold = true;
    },
  };
}
