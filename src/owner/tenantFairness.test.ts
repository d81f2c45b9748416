import { describe, expect, it } from 'vitest';
import { tenantSchema } from '../tenants/tenant.js';
import { createTenantShares } from '../tenants/tenantShares.js';
import { createTenantFairness } from './tenantFairness.js';

describe('turns of tenants', () => {
  it('leave a tenant behind that has had more than its share, and nobody else', () => {
    const turns = createTenantFairness((tenant) => (tenant === 'large' ? 0.5 : 0.1));
    for (let index = 0; index < 20; index += 1) {
      turns.note('large', 0);
      turns.note('small', 0);
    }
    expect(turns.isOverShare('large', 0)).toBe(false);
    expect(turns.isOverShare('small', 0)).toBe(true);
    expect(turns.isOverShare('quiet', 0)).toBe(false);
    expect(turns.isOverShare(undefined, 0)).toBe(false);
  });

  it('let a small tenant have a few requests that come together', () => {
    const turns = createTenantFairness(() => 0.001);
    const isBehind = [1, 2, 3, 4].map(() => {
      turns.note('small', 0);
      return turns.isOverShare('small', 0);
    });
    expect(isBehind).toEqual([false, false, false, true]);
  });

  it('forget what a tenant had', () => {
    const turns = createTenantFairness(() => 0.1);
    for (let index = 0; index < 20; index += 1) {
      turns.note('hot', 0);
    }
    expect(turns.isOverShare('hot', 5_000)).toBe(true);
    expect(turns.isOverShare('hot', 20_000)).toBe(false);
  });

  it('count nothing where no task names a tenant', () => {
    const turns = createTenantFairness(() => 0);
    for (let index = 0; index < 20; index += 1) {
      turns.note(undefined, 0);
    }
    expect(turns.isOverShare(undefined, 0)).toBe(false);
  });
});

describe('shares of tenants', () => {
  it('go by their limits; a tenant without one counts as the largest', () => {
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
