import { describe, expect, it } from 'vitest';
import { tenantSchema } from '../tenants/tenant.js';
import { createTenantShares } from '../tenants/tenantShares.js';
import { createTenantFairness } from './tenantFairness.js';

describe('createTenantFairness', () => {
  it('returns true for a tenant that has used more than its share, and for no other', () => {
    const fairness = createTenantFairness((tenant) => (tenant === 'large' ? 0.5 : 0.1));
    for (let index = 0; index < 20; index += 1) {
      fairness.note('large', 0);
      fairness.note('small', 0);
    }
    expect(fairness.isOverShare('large', 0)).toBe(false);
    expect(fairness.isOverShare('small', 0)).toBe(true);
    expect(fairness.isOverShare('quiet', 0)).toBe(false);
    expect(fairness.isOverShare(undefined, 0)).toBe(false);
  });

  it('allows a small tenant a burst of a few requests', () => {
    const fairness = createTenantFairness(() => 0.001);
    const isOverShare = [1, 2, 3, 4].map(() => {
      fairness.note('small', 0);
      return fairness.isOverShare('small', 0);
    });
    expect(isOverShare).toEqual([false, false, false, true]);
  });

  it('lets the usage of a tenant decay', () => {
    const fairness = createTenantFairness(() => 0.1);
    for (let index = 0; index < 20; index += 1) {
      fairness.note('hot', 0);
    }
    expect(fairness.isOverShare('hot', 5_000)).toBe(true);
    expect(fairness.isOverShare('hot', 20_000)).toBe(false);
  });

  it('counts nothing if no task names a tenant', () => {
    const fairness = createTenantFairness(() => 0);
    for (let index = 0; index < 20; index += 1) {
      fairness.note(undefined, 0);
    }
    expect(fairness.isOverShare(undefined, 0)).toBe(false);
  });
});

describe('createTenantShares', () => {
  it('derives shares from rate limits; no limit counts like the largest limit', () => {
    const tenants = [
      { name: 'large', ratePerS: 200 },
      { name: 'small', ratePerS: 100 },
      { name: 'free' },
    ].map((each) => tenantSchema.parse(each));
    const shareOf = createTenantShares(tenants);
    expect(['large', 'small', 'free', 'unknown'].map(shareOf)).toEqual([0.4, 0.2, 0.4, 0.4]);
    expect(createTenantShares([tenantSchema.parse({ name: 'free' })])('free')).toBe(1);
    expect(createTenantShares([])('unknown')).toBe(1);
  });
});
