import { describe, expect, it } from 'vitest';
import { createTenantUsageCounter, parseTenantUsage } from './tenantUsage.js';

describe('what tenants have used at a node', () => {
  it('counts the latest requests, let through and refused, and forgets the rest', () => {
    let now = 0;
    const use = createTenantUsageCounter({ now: () => now });
    const read = () => parseTenantUsage(use.serialize());
    use.note('acme', false);
    use.note('acme', false);
    use.note('acme', true);
    use.note('beta', true);
    expect(read()).toEqual([
      { name: 'acme', admitted: 2, refused: 1 },
      { name: 'beta', admitted: 0, refused: 1 },
    ]);
    now = 11_000;
    expect(read()).toEqual([
      { name: 'acme', admitted: 0, refused: 0 },
      { name: 'beta', admitted: 0, refused: 0 },
    ]);
  });

  it.each(['', 'null', '{}', '[{"name":"acme"}]', '[{"name":"acme","admitted":-1,"refused":0}]'])(
    'takes nothing from a node that says %s',
    (text) => {
      expect(parseTenantUsage(Buffer.from(text))).toBe(undefined);
    },
  );
});
