/** Quota decisions of one node and of a few nodes, without a network. */
import { beforeEach, describe, expect, it } from 'vitest';
import { createQuotaGate, type QuotaDecision, type QuotaGate } from './quotaGate.js';
import {
  holdersOf,
  type QuotaBounds,
  type QuotaMember,
  quotaLimitsOf,
  windowBound,
} from './quotaParts.js';
import { createQuotaPool, type QuotaGrant, type QuotaPool } from './quotaPool.js';
import { type MeshTenant, tenantSchema } from './tenant.js';

const BOUNDS: QuotaBounds = { windowMs: 5_000, overage: 0.1, slack: 20 };

const tenantOf = (ratePerS: number, burst = ratePerS): MeshTenant =>
  tenantSchema.parse({ name: 'acme', ratePerS, burst });

function membersOf(sizes: readonly number[]): QuotaMember[] {
  return sizes.flatMap((size, zone) =>
    Array.from({ length: size }, (_, index) => ({ node: `z${zone}n${index}`, zone: `z${zone}` })),
  );
}

describe('a quota', () => {
  it.each([
    ['a large tenant', tenantOf(600), BOUNDS],
    ['a small one', tenantOf(2), BOUNDS],
    ['bounds without overage or slack', tenantOf(10), { ...BOUNDS, overage: 0, slack: 0 }],
    ['no burst, no overage, no slack', tenantOf(10, 0), { ...BOUNDS, overage: 0, slack: 0 }],
    ['less than a request a window', tenantOf(0.1, 0), { ...BOUNDS, overage: 0, slack: 0 }],
  ])('stays within the bound in every window as one bucket: %s', (_case, tenant, bounds) => {
    const { tokensPerMs, depth } = quotaLimitsOf(tenant, bounds);
    const most = depth + tokensPerMs * bounds.windowMs;
    expect(Math.floor(most)).toBeLessThanOrEqual(Math.max(1, windowBound(tenant, bounds)));
    expect(depth).toBeGreaterThanOrEqual(1);
  });

  it('is held by all nodes if it is large, and by a few nodes of each zone if it is small', () => {
    const members = membersOf([30, 20, 10, 9]);
    expect(holdersOf('acme', quotaLimitsOf(tenantOf(1_000), BOUNDS), members)).toEqual(members);
    const few = holdersOf('acme', quotaLimitsOf(tenantOf(2), BOUNDS), members);
    expect(few.length).toBeLessThan(8);
    expect(new Set(few.map(({ zone }) => zone)).size).toBe(4);
    expect(holdersOf('acme', quotaLimitsOf(tenantOf(2), BOUNDS), [...members].reverse())).toEqual(
      few,
    );
  });
});

describe('a gate', () => {
  let now: number;
  let pools: Map<string, QuotaPool>;
  /** Holders that were asked, in order. */
  let asked: string[];
  /** Duration of each request to a holder, in milliseconds. */
  let answerDelayMs: number;
  let answer: (holder: string, wanted: number) => QuotaGrant | undefined;
  let gate: QuotaGate;
  const clock = { now: () => now };
  const members = membersOf([2, 2]);
  const tenant = tenantOf(40);

  const refresh = (version: number, tenants: readonly MeshTenant[]): void => {
    for (const pool of pools.values()) {
      pool.refresh({ version, tenants, members, bounds: BOUNDS }, now);
    }
  };

  beforeEach(() => {
    now = 0;
    asked = [];
    answerDelayMs = 0;
    pools = new Map(members.map(({ node }) => [node, createQuotaPool(node)]));
    refresh(1, [tenant]);
    answer = (holder, wanted) => pools.get(holder)?.grant('acme', wanted, now);
    gate = createQuotaGate({
      clock,
      node: 'z0n0',
      zone: 'z0',
      windowMs: BOUNDS.windowMs,
      pool: pools.get('z0n0') as QuotaPool,
      requestGrant: (holder, _tenant, wanted) => {
        asked.push(holder.node);
        return Promise.resolve(answer(holder.node, wanted)).then((grant) => {
          now += answerDelayMs;
          return grant;
        });
      },
    });
  });

  const admitMany = async (count: number, of = tenant): Promise<QuotaDecision[]> =>
    Promise.all(Array.from({ length: count }, () => gate.admit(of)));
  const admittedOf = (decisions: readonly QuotaDecision[]): number =>
    decisions.filter(({ isAdmitted }) => isAdmitted).length;

  it('admits nothing at the start, and the whole quota once all parts are full', async () => {
    expect(admittedOf(await admitMany(10))).toBe(0);
    now = 10_000;
    asked = [];
    const whole = quotaLimitsOf(tenant, BOUNDS).depth;
    const admitted = admittedOf(await admitMany(200));
    expect(admitted).toBeLessThanOrEqual(whole);
    expect(admitted).toBeGreaterThan(whole - members.length);
    expect(asked[0]).toBe('z0n1');
    // The first holder was asked for one request before the other requests had arrived.
    expect(asked.length).toBeLessThanOrEqual(4);
  });

  it('admits no request of a limited tenant whose quota parts are not known yet', () => {
    const stranger = tenantSchema.parse({ name: 'stranger', ratePerS: 1 });
    expect(gate.admit(stranger)).toMatchObject({ isAdmitted: false, details: { holders: 0 } });
  });

  it('asks no holder while its own part has tokens, or for a tenant without a limit', async () => {
    now = 10_000;
    expect(admittedOf(await admitMany(5))).toBe(5);
    expect(admittedOf(await admitMany(500, tenantSchema.parse({ name: 'free' })))).toBe(500);
    expect(asked).toEqual([]);
  });

  it('refuses without asking while all holders are empty, and spreads retries', async () => {
    now = 10_000;
    await admitMany(200);
    const previousCount = asked.length;
    now += 50;
    const refused = (await admitMany(6)).filter((decision) => !decision.isAdmitted);
    expect(asked.length).toBe(previousCount);
    const retryTimes = refused.map((decision) =>
      'retryAfterMs' in decision ? decision.retryAfterMs : 0,
    );
    expect(retryTimes).toEqual([...retryTimes].sort((left, right) => left - right));
    expect(Math.min(...retryTimes)).toBeGreaterThan(0);
    expect(Math.max(...retryTimes)).toBeLessThanOrEqual(BOUNDS.windowMs);
    expect(refused[0]).toMatchObject({
      details: { ratePerS: 40, holders: 4, isHolder: true, dry: 3 },
    });
  });

  it('skips a holder that does not answer, and does not ask it for a while', async () => {
    now = 10_000;
    answer = (holder, wanted) =>
      holder === 'z0n1' ? undefined : pools.get(holder)?.grant('acme', wanted, now);
    const whole = quotaLimitsOf(tenant, BOUNDS).depth;
    expect(admittedOf(await admitMany(200))).toBeGreaterThan((whole * 3) / 4 - members.length);
    expect(asked.filter((node) => node === 'z0n1').length).toBe(1);
  });

  it('asks an empty holder once it has a token again, if there is no other', async () => {
    const small = tenantOf(10);
    const few = { windowMs: 1_000, overage: 0.1, slack: 0 };
    for (const pool of pools.values()) {
      pool.refresh({ version: 2, tenants: [small], members: members.slice(1), bounds: few }, now);
    }
    now = 10_000;
    const whole = admittedOf(await admitMany(20, small));
    expect(whole).toBeGreaterThan(0);
    expect(pools.get('z0n0')?.view('acme')?.localBucket).toBe(undefined);
    // From here on, the tenant stays below its rate. The last request to the holders got no grant.
    let admitted = 0;
    for (let sent = 0; sent < 10; sent += 1) {
      now += 260;
      admitted += admittedOf(await admitMany(2, small));
    }
    expect(admitted).toBe(20);
  });

  it('admits no request by a grant that arrives too late', async () => {
    now = 10_000;
    answerDelayMs = 201;
    answer = (_holder, wanted) => ({ granted: wanted, dryMs: 0 });
    const own = admittedOf(await admitMany(200));
    expect(own).toBeLessThanOrEqual(quotaLimitsOf(tenant, BOUNDS).depth / 4);
  });

  it('accepts a refund once and only for a short time after the admission', async () => {
    now = 10_000;
    answer = () => ({ granted: 0, dryMs: 1_000 });
    const decisions = await admitMany(50);
    const refunds = decisions.map((each) => (each.isAdmitted ? each.refund : () => {}));
    refunds[0]?.();
    refunds[0]?.();
    expect(admittedOf(await admitMany(5))).toBe(1);
    now += 201;
    const later = admittedOf(await admitMany(5));
    refunds[1]?.();
    expect(later).toBeGreaterThan(0);
    expect(admittedOf(await admitMany(5))).toBe(0);
  });

  it('keeps tokens when a limit changes, and starts a first limit full', async () => {
    now = 10_000;
    refresh(2, [tenantOf(4)]);
    const lowered = quotaLimitsOf(tenantOf(4), BOUNDS).depth;
    expect(admittedOf(await admitMany(200))).toBeLessThanOrEqual(lowered);
    refresh(3, []);
    expect(admittedOf(await admitMany(200, tenantOf(0)))).toBe(200);
    refresh(4, [tenant]);
    expect(admittedOf(await admitMany(200))).toBeGreaterThan(
      quotaLimitsOf(tenant, BOUNDS).depth - 4,
    );
  });
});
