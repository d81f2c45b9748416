import { describe, expect, it } from 'vitest';
import { holdersOf, type QuotaBounds, quotaLimitsOf, windowBound } from './quotaParts.js';
import { tenantSchema } from './tenant.js';
import { createTokenBucket } from './tokenBucket.js';

/** A window of a second with little beside the limit: overage and slack alone leave no depth. */
const NARROW: QuotaBounds = { windowMs: 1_000, overage: 0.1, slack: 5 };

const CALM = tenantSchema.parse({ name: 'calm', ratePerS: 32, burst: 20 });

/** Share of the requests that one bucket lets through if they come `together` at a time. */
function admittedShare(ratePerS: number, together: number, bounds: QuotaBounds): number {
  const bucket = createTokenBucket(quotaLimitsOf(CALM, bounds), 0, 0);
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
  it('are three for a small tenant, so that a silent one has not all refused', () => {
    const small = tenantSchema.parse({ name: 'small', ratePerS: 2, burst: 2 });
    const few = [CALM, small].map((tenant) => quotaLimitsOf(tenant, NARROW));
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
  // A node that stands still for a moment sees all that came meanwhile at once.
  it.each([1, 2, 5, 8])(
    'lets a tenant below its rate through, %i requests at a time',
    (together) => {
      expect(admittedShare(20, together, NARROW)).toBe(1);
      expect(admittedShare(32, together, NARROW)).toBe(1);
    },
  );

  it('keeps the bound with narrow bounds, and fills no slower than the rate', () => {
    const { tokensPerMs, depth } = quotaLimitsOf(CALM, NARROW);
    expect(depth + tokensPerMs * NARROW.windowMs).toBeLessThanOrEqual(windowBound(CALM, NARROW));
    expect(tokensPerMs).toBeGreaterThanOrEqual(CALM.ratePerS / 1_000);
  });

  it('spreads the burst over the window where overage and slack are deep enough', () => {
    const wide = { windowMs: 5_000, overage: 0.1, slack: 20 };
    expect(quotaLimitsOf(CALM, wide).tokensPerMs).toBeCloseTo((32 * 5 + 20) / 5_000);
  });
});
