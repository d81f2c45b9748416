import { describe, expect, it } from 'vitest';
import { holdersOf, type QuotaBounds, quotaLimitsOf, windowBound } from './quotaParts.js';
import { tenantSchema } from './tenant.js';
import { createTokenBucket } from './tokenBucket.js';

/** Bounds with a short window and little slack: overage and slack alone leave no bucket depth. */
const NARROW: QuotaBounds = { windowMs: 1_000, overage: 0.1, slack: 5 };

const STEADY = tenantSchema.parse({ name: 'steady', ratePerS: 32, burst: 20 });

/** Share of the requests that one bucket admits if `together` of them arrive at a time. */
function admittedShare(ratePerS: number, together: number, bounds: QuotaBounds): number {
  const bucket = createTokenBucket(quotaLimitsOf(STEADY, bounds), 0, 0);
  const pauseMs = (together * 1_000) / ratePerS;
  let asked = 0;
  let admitted = 0;
  for (let now = 2_000; now < 12_000; now += pauseMs) {
    asked += together;
    admitted += bucket.take(together, now);
  }
  return admitted / asked;
}

const MEMBERS = Array.from({ length: 20 }, (_, index) => ({ node: `n${index}`, zone: 'a' }));

describe('the holders of a quota', () => {
  it('are three for a small tenant, so that one silent holder does not stop all requests', () => {
    const small = tenantSchema.parse({ name: 'small', ratePerS: 2, burst: 2 });
    const few = [STEADY, small].map((tenant) => quotaLimitsOf(tenant, NARROW));
    expect(few.map((quota) => holdersOf('small', quota, MEMBERS).length)).toEqual([3, 3]);
    const least = quotaLimitsOf(tenantSchema.parse({ name: 'least', ratePerS: 0.1 }), {
      windowMs: 1_000,
      overage: 0,
      slack: 0,
    });
    expect(holdersOf('least', least, MEMBERS)).toHaveLength(1);
  });
});

describe('the bucket of a quota', () => {
  // After a short pause, a node receives all requests of the pause at once.
  it.each([1, 2, 5, 8])(
    'admits all requests of a tenant below its rate, %i requests at a time',
    (together) => {
      expect(admittedShare(20, together, NARROW)).toBe(1);
      expect(admittedShare(32, together, NARROW)).toBe(1);
    },
  );

  it('stays within narrow bounds, and fills no slower than the rate', () => {
    const { tokensPerMs, depth } = quotaLimitsOf(STEADY, NARROW);
    expect(depth + tokensPerMs * NARROW.windowMs).toBeLessThanOrEqual(windowBound(STEADY, NARROW));
    expect(tokensPerMs).toBeGreaterThanOrEqual(STEADY.ratePerS / 1_000);
  });

  it('spreads the burst over the window if overage and slack leave enough depth', () => {
    const wide = { windowMs: 5_000, overage: 0.1, slack: 20 };
    expect(quotaLimitsOf(STEADY, wide).tokensPerMs).toBeCloseTo((32 * 5 + 20) / 5_000);
  });
});
