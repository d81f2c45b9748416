import { describe, expect, it } from 'vitest';
import { createTenantTurns, type TurnWish } from './tenantTurns.js';

const wish = (tenant: string | undefined, priority = 1): TurnWish => ({ tenant, priority });

/** Requests a second of one tenant that crowds a service of 100 a second, and of nine others. */
const SENT = new Map([
  ['large', 160],
  ...Array.from({ length: 9 }, (_, index) => [`small-${index}`, 5] as const),
]);
const QUEUE = 40;
const SPAN_MS = 20_000;

/** Share of each tenant's requests that runs, at one slot with 10 ms a request and a queue that is full. */
function servedShares(weightOf: (tenant: string) => number, isFair: boolean): Map<string, number> {
  const turns = createTenantTurns(weightOf);
  const waiting: TurnWish[] = [];
  const asked = new Map<string, number>();
  const served = new Map<string, number>();
  const count = (of: Map<string, number>, tenant = '') => of.set(tenant, (of.get(tenant) ?? 0) + 1);
  for (let now = 0; now < SPAN_MS; now += 1) {
    for (const [tenant, perS] of SENT) {
      if (Math.floor(((now + 1) * perS) / 1_000) > Math.floor((now * perS) / 1_000)) {
        count(asked, tenant);
        waiting.push(wish(tenant));
      }
    }
    while (waiting.length > QUEUE) {
      waiting.splice(isFair ? turns.giveUp(waiting, now) : waiting.length - 1, 1);
    }
    if (now % 10 === 0 && waiting.length > 0) {
      const [next] = waiting.splice(isFair ? turns.next(waiting, now) : 0, 1);
      turns.note(next?.tenant, now);
      count(served, next?.tenant);
    }
  }
  return new Map([...asked].map(([tenant, all]) => [tenant, (served.get(tenant) ?? 0) / all]));
}

describe('turns of tenants', () => {
  it('go to the urgent first, then to whom has had least, then to who came first', () => {
    const turns = createTenantTurns(() => 1);
    turns.note('a', 0);
    expect(turns.next([], 0)).toBe(-1);
    expect(turns.next([wish('a'), wish('b'), wish('c')], 0)).toBe(1);
    expect(turns.next([wish('b'), wish('a', 0), wish('c')], 0)).toBe(1);
    expect(turns.next([wish(undefined), wish('b')], 0)).toBe(0);
    expect(turns.giveUp([wish('a'), wish('b'), wish('a'), wish('b')], 0)).toBe(2);
    expect(turns.giveUp([wish('a'), wish('b', 2), wish('a')], 0)).toBe(1);
  });

  it('forget what a tenant had', () => {
    const turns = createTenantTurns(() => 1);
    turns.note('a', 0);
    turns.note('a', 0);
    turns.note('b', 20_000);
    expect(turns.next([wish('b'), wish('a')], 20_000)).toBe(1);
  });

  it('serve those whom a large tenant crowds out, and by weights still much of the large one', () => {
    const byArrival = servedShares(() => 1, false);
    const equal = servedShares(() => 1, true);
    const weighted = servedShares((tenant) => (tenant === 'large' ? 100 : 8), true);
    const worstSmall = (shares: Map<string, number>) =>
      Math.min(...[...shares].flatMap(([tenant, share]) => (tenant === 'large' ? [] : [share])));
    expect(worstSmall(byArrival)).toBeLessThan(0.7);
    expect(worstSmall(equal)).toBeGreaterThan(0.97);
    // Their weight is 8 of 172 each: of 100 a second that is 4.65 of the 5 that they send, 0.93.
    expect(worstSmall(weighted)).toBeGreaterThan(0.9);
    expect(weighted.get('large')).toBeGreaterThan(0.3);
  });
});
