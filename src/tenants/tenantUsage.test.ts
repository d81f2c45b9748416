import { describe, expect, it } from 'vitest';
import { createTenantUsageCounter, parseTenantUsage } from './tenantUsage.js';

describe('the tenant usage of a node', () => {
  it('counts admitted and refused requests of the window, and drops older ones', () => {
    let now = 0;
    const usage = createTenantUsageCounter({ now: () => now });
    const read = () => parseTenantUsage(usage.serialize());
    usage.note('acme', false);
    usage.note('acme', false);
    usage.note('acme', true);
    usage.note('beta', true);
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
    'rejects the invalid answer %s',
    (text) => {
      expect(parseTenantUsage(Buffer.from(text))).toBe(undefined);
    },
  );
});
