import { describe, expect, it } from 'vitest';
import { tenantSchema } from '../tenants/tenant.js';
import { tenantShares } from '../tenants/tenantShares.js';
import { createTenantTurns } from './tenantTurns.js';

describe('turns of tenants', () => {
  it('leave a tenant behind that has had more than its share, and nobody else', () => {
    const turns = createTenantTurns((tenant) => (tenant === 'large' ? 0.5 : 0.1));
    for (let index = 0; index < 20; index += 1) {
      turns.note('large', 0);
      turns.note('small', 0);
    }
    expect(turns.isBehind('large', 0)).toBe(false);
    expect(turns.isBehind('small', 0)).toBe(true);
    expect(turns.isBehind('quiet', 0)).toBe(false);
    expect(turns.isBehind(undefined, 0)).toBe(false);
  });

  it('let a small tenant have a few requests that come together', () => {
    const turns = createTenantTurns(() => 0.001);
    const isBehind = [1, 2, 3, 4].map(() => {
      turns.note('small', 0);
      return turns.isBehind('small', 0);
    });
    expect(isBehind).toEqual([false, false, false, true]);
  });

  it('forget what a tenant had', () => {
    const turns = createTenantTurns(() => 0.1);
    for (let index = 0; index < 20; index += 1) {
      turns.note('hot', 0);
    }
    expect(turns.isBehind('hot', 5_000)).toBe(true);
    expect(turns.isBehind('hot', 20_000)).toBe(false);
  });

  it('count nothing where no task names a tenant', () => {
    const turns = createTenantTurns(() => 0);
    for (let index = 0; index < 20; index += 1) {
      turns.note(undefined, 0);
    }
    expect(turns.isBehind(undefined, 0)).toBe(false);
  });
});

describe('shares of tenants', () => {
  it('go by their limits; a tenant without one counts as the largest', () => {
    const tenants = [
      { name: 'large', ratePerS: 200 },
      { name: 'small', ratePerS: 100 },
      { name: 'free' },
    ].map((each) => tenantSchema.parse(each));
    const shareOf = tenantShares(tenants);
    expect(['large', 'small', 'free', 'unknown'].map(shareOf)).toEqual([0.4, 0.2, 0.4, 0.4]);
    expect(tenantShares([tenantSchema.parse({ name: 'free' })])('free')).toBe(1);
    expect(tenantShares([])('unknown')).toBe(1);
  });
});
