/** A token bucket: tokens come at a rate and are kept up to a depth; each lets one request through. */

/** What a bucket is filled by. */
export interface BucketLimits {
  readonly tokensPerMs: number;
  /** Most tokens that it keeps. */
  readonly depth: number;
}

/** Takes the steady time in milliseconds as an argument. */
export interface TokenBucket {
  /** Whole tokens taken, at the most `wanted`. */
  take(wanted: number, now: number): number;
  /** Puts back a token whose request has not run. */
  refund(now: number): void;
  /** Milliseconds until there is a whole token. */
  refillMs(now: number): number;
  /** Goes on under other limits with what it holds. */
  setLimits(limits: BucketLimits, now: number): void;
}

/** Float sums of tokens are off by less than this. */
const ROUNDING = 1e-9;

export function createTokenBucket(
  initial: BucketLimits,
  initialTokens: number,
  startedAt: number,
): TokenBucket {
  let limits = initial;
  let tokens = Math.min(initialTokens, initial.depth);
  let filledAt = startedAt;
  const fill = (now: number): void => {
    const added = Math.max(0, now - filledAt) * limits.tokensPerMs;
    tokens = Math.min(limits.depth, tokens + added);
    filledAt = now;
  };
  return {
    take: (wanted, now) => {
      fill(now);
      const taken = Math.min(wanted, Math.floor(tokens + ROUNDING));
      tokens -= taken;
      return taken;
    },
    refund: (now) => {
      fill(now);
      tokens = Math.min(limits.depth, tokens + 1);
    },
    refillMs: (now) => {
      fill(now);
      return tokens + ROUNDING >= 1 ? 0 : (1 - tokens) / limits.tokensPerMs;
    },
    setLimits: (next, now) => {
      fill(now);
      limits = next;
      tokens = Math.min(tokens, next.depth);
    },
  };
}
