/**
 * The rate limit that the back end names in its answers, and the requests that it allows. Every
 * request reaches the back end through this node, so a token bucket here bounds what it receives
 * from all nodes together.
 */
import { type BucketLimits, createTokenBucket, type TokenBucket } from '../tenants/tokenBucket.js';

/** Seconds of requests at the limit, beside one request, that may be sent in a burst. */
const BURST_S = 0.5;

/**
 * Lowest rate in requests per second. Only the answer to a request shows that a limit has been
 * lifted, so a back end with a lower limit gets one request in two seconds.
 */
const MIN_PER_S = 0.5;

/**
 * Number of requests that an incarnation may run at once until it has answered one: whether it
 * names a limit is not known before.
 */
const MAX_RUNNING_BEFORE_ANSWER = 3;

const MILLISECONDS_PER_SECOND = 1_000;

/** Every `now` is a steady time in milliseconds. */
export interface BackEndLimit {
  /** Requests per second that the back end accepts. Undefined if it names no limit. */
  readonly perSecond: number | undefined;
  /** Number of requests that may run at once, whatever the number of slots. */
  readonly maxRunning: number;
  /** Records that the back end has answered a request. */
  noteAnswered(): void;
  /** Records the limit that the newest answer names. True if it has changed. */
  note(perSecond: number | undefined, now: number): boolean;
  /** Milliseconds until a request may be sent that has `ahead` requests before it. */
  waitMs(ahead: number, now: number): number;
  /** Counts a request that is admitted. */
  take(now: number): void;
  /**
   * True if a request admitted at `admittedAt` may be sent now. One that was admitted before the
   * limit was named, and waited for its body since, is counted now or may not be sent.
   */
  confirm(admittedAt: number, now: number): boolean;
  /** Takes back the count of a request admitted at `admittedAt` that was not sent. */
  refund(admittedAt: number, now: number): void;
  /** Discards the limit. Called for a new incarnation, which has named none yet. */
  reset(): void;
}

/** Of a back end that never names a limit. */
export const NO_LIMIT: BackEndLimit = {
  perSecond: undefined,
  maxRunning: Number.POSITIVE_INFINITY,
  noteAnswered: () => {},
  note: () => false,
  waitMs: () => 0,
  take: () => {},
  confirm: () => true,
  refund: () => {},
  reset: () => {},
};

export function createBackEndLimit(): BackEndLimit {
  let limit: number | undefined;
  let bucket: TokenBucket | undefined;
  let hasAnswered = false;
  /** Steady time in milliseconds since which requests are counted. */
  let countedSince = Number.POSITIVE_INFINITY;

  return {
    get perSecond() {
      return limit;
    },
    get maxRunning() {
      const isKnown = hasAnswered || limit !== undefined;
      return isKnown ? Number.POSITIVE_INFINITY : MAX_RUNNING_BEFORE_ANSWER;
    },
    noteAnswered: () => {
      hasAnswered = true;
    },
    note: (perSecond, now) => {
      if (perSecond === limit) {
        return false;
      }
      limit = perSecond;
      if (perSecond === undefined) {
        bucket = undefined;
        countedSince = Number.POSITIVE_INFINITY;
      } else if (bucket) {
        bucket.setLimits(bucketLimitsOf(perSecond), now);
      } else {
        bucket = createTokenBucket(bucketLimitsOf(perSecond), 0, now);
        countedSince = now;
      }
      return true;
    },
    waitMs: (ahead, now) => bucket?.refillMs(now, ahead + 1) ?? 0,
    take: (now) => {
      bucket?.take(1, now);
    },
    confirm: (admittedAt, now) =>
      !bucket || admittedAt >= countedSince || bucket.take(1, now) === 1,
    refund: (admittedAt, now) => {
      if (admittedAt >= countedSince) {
        bucket?.refund(now);
      }
    },
    reset: () => {
      limit = undefined;
      bucket = undefined;
      countedSince = Number.POSITIVE_INFINITY;
      hasAnswered = false;
    },
  };
}

function bucketLimitsOf(perSecond: number): BucketLimits {
  const rate = Math.max(perSecond, MIN_PER_S);
  return { tokensPerMs: rate / MILLISECONDS_PER_SECOND, depth: 1 + rate * BURST_S };
}
