import { describe, expect, it } from 'vitest';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';
import { SoakRule } from './sidecarSoakCheck.js';
import {
  checkQuota,
  checkRevoked,
  checkTenants,
  type TenantRequest,
  type TenantRun,
} from './soakTenantsCheck.js';

const TENANT = NAMES.tenant.toLowerCase();

function request(id: string, fields: Partial<TenantRequest> = {}): TenantRequest {
  return { id, tenant: 'hot', keyVersion: undefined, sentAt: 0, ...fields };
}

function run(id: string, at = 0, headers: Record<string, string> = { [TENANT]: 'hot' }): TenantRun {
  return { id, at, headers, seen: JSON.stringify(headers) };
}

describe('checkTenants', () => {
  const rules = (runs: TenantRun[]) =>
    checkTenants([request('a')], runs, 'secret', 'main').map(({ rule }) => rule);

  it('finds nothing in what is right', () => {
    expect(rules([run('a'), run('b', 0, { [TENANT]: 'main' })])).toEqual([]);
  });

  it.each([
    ['a key that is passed on', SoakRule.Key, run('a', 0, { [TENANT]: 'hot', x: 'a-secret-key' })],
    ['the tenant that a client claims to be', SoakRule.Tenant, run('a', 0, { [TENANT]: 'main' })],
    ['no tenant', SoakRule.Tenant, run('a', 0, {})],
    ['two tenants', SoakRule.Tenant, run('a', 0, { [TENANT]: 'hot, main' })],
    ['a foreign tenant of one that has no request here', SoakRule.Tenant, run('b')],
  ])('finds %s', (_name, rule, seen) => {
    expect(rules([seen])).toEqual([rule]);
  });
});

describe('checkRevoked', () => {
  const writtenAt = new Map([
    [1, 0],
    [2, 1_000],
  ]);
  const found = (keyVersion: number, sentAt: number, runs = [run('a', sentAt)]) =>
    checkRevoked([request('a', { keyVersion, sentAt })], runs, writtenAt, 500).length;

  it('allows a key until its bound, and for good while no version has taken it away', () => {
    expect(found(1, 1_500)).toBe(0);
    expect(found(2, 9_000)).toBe(0);
    expect(found(1, 1_501, [])).toBe(0);
  });

  it('finds a run with a key that is gone, or that never was', () => {
    expect(found(1, 1_501)).toBe(1);
    expect(found(0, 10)).toBe(1);
    expect(found(3, 9_000)).toBe(1);
  });
});

describe('checkQuota', () => {
  const bounds = { windowMs: 1_000, overage: 0.1, slack: 1 };
  const tenant = { name: 'hot', ratePerS: 8, burst: 2 };
  const every = (count: number, pauseMs: number) =>
    Array.from({ length: count }, (_, index) => ({ id: `${index}`, at: index * pauseMs }));
  const found = (sent: { id: string; at: number }[], runs = sent) =>
    checkQuota(
      sent.map(({ id, at }) => request(id, { sentAt: at })),
      runs.map(({ id, at }) => run(id, at)),
      { tenant, bounds },
    ).length;

  it('allows what the bound says in each window, and the same request twice', () => {
    expect(found(every(12, 1))).toBe(0);
    expect(found(every(60, 85))).toBe(0);
    expect(found(every(12, 1), [...every(12, 1), ...every(12, 1)])).toBe(0);
  });

  it('does not count what was sent before a window and is run in it', () => {
    const sent = every(30, 100);
    expect(
      found(
        sent,
        sent.map(({ id }) => ({ id, at: 3_000 })),
      ),
    ).toBe(0);
  });

  it('finds one more in some window, after others that kept to the bound', () => {
    expect(found(every(13, 1))).toBe(1);
    const late = every(13, 1).map(({ id, at }) => ({ id: `late-${id}`, at: 8_000 + at }));
    expect(found([...every(60, 100), ...late])).toBe(1);
  });
});
