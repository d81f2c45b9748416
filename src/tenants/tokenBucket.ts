/** A token bucket: it fills at a rate up to a depth, and each token admits one request. */

/** The fill rate and depth of a bucket. */
export interface BucketLimits {
  readonly tokensPerMs: number;
  /** Most tokens that the bucket holds. */
  readonly depth: number;
}

/** The parameter `now` is the steady time in milliseconds. */
export interface TokenBucket {
  /** Removes at most `wanted` whole tokens and returns their number. */
  take(wanted: number, now: number): number;
  /** Puts back a token whose request has not run. */
  refund(now: number): void;
  /** Milliseconds until the bucket has had time to fill with `tokens` whole tokens; by default one. */
  refillMs(now: number, tokens?: number): number;
  /** Changes the limits and keeps the tokens, up to the new depth. */
  setLimits(limits: BucketLimits, now: number): void;
}

/** Upper bound for the rounding error of the floating-point number of tokens. */
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
    refillMs: (now, wanted = 1) => {
      fill(now);
      return tokens + ROUNDING >= wanted ? 0 : (wanted - tokens) / limits.tokensPerMs;
    },
    setLimits: (next, now) => {
      fill(now);
      limits = next;
      tokens = Math.min(tokens, next.depth);
    },
  };
}
