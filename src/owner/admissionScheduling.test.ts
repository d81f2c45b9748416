/** Tenants at a full back end: who runs next, and whose place is given up. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/random.js';
import { AdmissionControl, type AdmissionRequest, type Waiter } from './admission-control.js';

const SLOTS = 10;
const SERVICE_MS = 100;
/** Time in which an answer is worth most: five times what a request takes alone. */
const TARGET_MS = 500;
const SPAN_MS = 20_000;

/** Requests a second of one tenant that crowds a service of 100 a second, and of nine others. */
const CROWDED = new Map([
  ['large', 160],
  ...Array.from({ length: 9 }, (_, index) => [`small-${index}`, 5] as const),
]);

interface Arrival {
  readonly tenant: string;
  readonly request: AdmissionRequest;
}

interface Play {
  readonly shareOf: (tenant: string) => number;
  /** False: tasks name no tenant, as before there were any. */
  readonly isFair: boolean;
}

/** Share of each tenant's requests that one owner runs in time. */
function servedShares({ shareOf, isFair }: Play, sent = CROWDED): Map<string, number> {
  const admission = new AdmissionControl(undefined, shareOf);
  const asked = new Map<string, number>();
  const served = new Map<string, number>();
  const ends: { readonly at: number; readonly request: AdmissionRequest }[] = [];
  const random = seededRandom(40);
  let now = 0;
  const count = (of: Map<string, number>, tenant: string) =>
    of.set(tenant, (of.get(tenant) ?? 0) + 1);
  const run = ({ tenant, request }: Arrival): void => {
    admission.noteStarted(request, now);
    ends.push({ at: now + SERVICE_MS, request });
    if (now + SERVICE_MS <= request.targetAt) {
      count(served, tenant);
    }
  };
  const arrive = (arrival: Arrival): void => {
    count(asked, arrival.tenant);
    const { kind } = admission.decide(arrival.request, now);
    if (kind === 'run') {
      run(arrival);
    } else if (kind === 'wait') {
      const { request } = arrival;
      admission.enqueue({ request, since: now, admit: () => run(arrival), reject: () => {} });
    }
  };
  admission.setSlots(SLOTS, 0);
  for (; now < SPAN_MS; now += 1) {
    for (let due = ends[0]; due && due.at <= now; due = ends[0]) {
      ends.shift();
      admission.noteFinished(due.request, SERVICE_MS, now);
    }
    for (const [tenant, perS] of sent) {
      if (random() < perS / 1_000) {
        const targetAt = now + TARGET_MS;
        const common = { route: 'read', priority: 1, targetAt, deadlineAt: targetAt };
        const request = { ...common, mayWait: true, tenant: isFair ? tenant : undefined };
        arrive({ tenant, request });
      }
    }
  }
  return new Map([...asked].map(([tenant, all]) => [tenant, (served.get(tenant) ?? 0) / all]));
}

const worstSmall = (shares: Map<string, number>): number =>
  Math.min(...[...shares].flatMap(([tenant, share]) => (tenant === 'large' ? [] : [share])));
/** By limits of 100 a second, and of 8 each. */
const byLimits = (tenant: string): number => (tenant === 'large' ? 100 : 8) / 172;
const evenly = (): number => 1 / CROWDED.size;
const allOf = (shares: Map<string, number>, sent = CROWDED): number =>
  [...shares].reduce((sum, [tenant, share]) => sum + share * (sent.get(tenant) ?? 0), 0);

describe('tenants at a full back end', () => {
  it('keep their shares beside one that would crowd them out', () => {
    const byArrival = servedShares({ shareOf: byLimits, isFair: false });
    const equal = servedShares({ shareOf: evenly, isFair: true });
    const weighted = servedShares({ shareOf: byLimits, isFair: true });
    expect(worstSmall(byArrival)).toBeLessThan(0.7);
    expect(worstSmall(equal)).toBeGreaterThan(0.97);
    // Their share is 8 of 172 each: of 100 a second that is 4.65 of the 5 that they send, 0.93.
    expect(allOf(weighted, new Map([...CROWDED].slice(1))) / 45).toBeGreaterThan(0.85);
    expect(weighted.get('large')).toBeGreaterThan(0.3);
    // The back end does no less than before.
    expect(allOf(weighted)).toBeGreaterThan(0.98 * allOf(byArrival));
  });

  it('are served nearly whole while they send less than their share', () => {
    const sent = new Map([...CROWDED].map(([tenant, perS]) => [tenant, perS - 1]));
    const shares = servedShares({ shareOf: byLimits, isFair: true }, sent);
    expect(worstSmall(shares)).toBeGreaterThan(0.95);
    expect(worstSmall(servedShares({ shareOf: byLimits, isFair: false }, sent))).toBeLessThan(0.7);
  });

  it('bear a shortage alike as long as each sends its share, large and small', () => {
    const sent = new Map([...CROWDED].map(([tenant]) => [tenant, 205 * byLimits(tenant)]));
    const shares = servedShares({ shareOf: byLimits, isFair: true }, sent);
    const small = allOf(shares, new Map([...sent].slice(1))) / (205 * (72 / 172));
    expect(Math.abs((shares.get('large') ?? 0) - small)).toBeLessThan(0.1);
  });
});

describe('a full queue', () => {
  const request = (tenant: string | undefined, priority = 1, targetAt = 10_000) => ({
    route: 'read',
    tenant,
    priority,
    targetAt,
    deadlineAt: targetAt,
    mayWait: true,
  });

  /** One slot, taken, that a task holds for 10 ms; nothing waits. */
  function fullOwner(shareOf = () => 1): { admission: AdmissionControl; fate: string[] } {
    const admission = new AdmissionControl(undefined, shareOf);
    admission.setSlots(1, 0);
    for (let index = 0; index < 200; index += 1) {
      admission.noteStarted({}, 0);
      admission.noteFinished(request(undefined), 10, 0);
    }
    admission.noteStarted({}, 0);
    return { admission, fate: [] };
  }

  const waiterOf = (asked: AdmissionRequest, fate: string[], name: string): Waiter => ({
    request: asked,
    since: 0,
    admit: () => fate.push(`${name} runs`),
    reject: () => fate.push(`${name} is turned away`),
  });

  /** Tenant `a` has had all of late, and more than its share. */
  function crowdedOwner(): { admission: AdmissionControl; fate: string[] } {
    const owner = fullOwner(() => 0.1);
    for (let index = 0; index < 20; index += 1) {
      owner.admission.noteFinished(request('a'), 10, 0);
      owner.admission.noteStarted({ tenant: 'a' }, 0);
    }
    return owner;
  }

  it('gives up the last place of whom has had most for one that has had none, and for nobody else', () => {
    const { admission, fate } = crowdedOwner();
    for (let index = 0; index < 8; index += 1) {
      admission.enqueue(waiterOf(request('a'), fate, `a${index}`));
    }
    expect(admission.decide(request('a'), 0).kind).toBe('busy');
    expect(admission.decide(request('b', 2), 0).kind).toBe('busy');
    expect(admission.decide(request('b'), 0).kind).toBe('wait');
    admission.enqueue(waiterOf(request('b'), fate, 'b'));
    expect(fate).toEqual(['a7 is turned away']);
    expect(admission.queued).toBe(8);
  });

  it('turns away at once what cannot be in time any longer behind another tenant', () => {
    const { admission, fate } = crowdedOwner();
    admission.enqueue(waiterOf(request('a'), fate, 'a0'));
    admission.enqueue(waiterOf(request('a', 1, 35), fate, 'a1'));
    admission.enqueue(waiterOf(request('b'), fate, 'b'));
    expect(fate).toEqual(['a1 is turned away']);
  });

  it('never lets a tenant pass what is more urgent, and lets it pass what is behind', () => {
    const { admission, fate } = crowdedOwner();
    admission.enqueue(waiterOf(request('a', 0), fate, 'a0'));
    admission.enqueue(waiterOf(request('a', 1), fate, 'a1'));
    admission.enqueue(waiterOf(request('b', 1), fate, 'b'));
    for (let index = 0; index < 3; index += 1) {
      admission.noteFinished(request(undefined), 10, 20);
      admission.noteStarted({}, 20);
    }
    expect(fate).toEqual(['a0 runs', 'b runs', 'a1 runs']);
  });

  it('settles each task once and never runs more than the slots, whoever comes', () => {
    const step = fc.record({
      arrives: fc.boolean(),
      priority: fc.integer({ min: 0, max: 2 }),
      tenant: fc.constantFrom(undefined, 'a', 'b', 'c'),
      withinMs: fc.integer({ min: 5, max: 200 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const { admission } = crowdedOwner();
        const settled = new Map<number, number>();
        const settle = (index: number) => settled.set(index, (settled.get(index) ?? 0) + 1);
        steps.forEach(({ arrives, priority, tenant, withinMs }, now) => {
          const asked = request(tenant, priority, now + withinMs);
          if (!arrives && admission.inFlight > 0) {
            admission.noteFinished(asked, 10, now);
          } else if (arrives && admission.decide(asked, now).kind === 'wait') {
            const admit = () => {
              admission.noteStarted(asked, now);
              settle(now);
            };
            admission.enqueue({ request: asked, since: now, admit, reject: () => settle(now) });
          }
          expect(admission.inFlight).toBeLessThanOrEqual(1);
        });
        admission.rejectAllWaiting();
        expect(admission.queued).toBe(0);
        expect([...settled.values()].every((times) => times === 1)).toBe(true);
      }),
      { seed: 40, numRuns: 300 },
    );
  });

  it('serves in the order of arrival where no task names a tenant', () => {
    const { admission, fate } = fullOwner();
    for (const name of ['first', 'second', 'third']) {
      admission.enqueue(waiterOf(request(undefined), fate, name));
    }
    for (let index = 0; index < 3; index += 1) {
      admission.noteFinished(request(undefined), 10, 20);
      admission.noteStarted({}, 0);
    }
    expect(fate).toEqual(['first runs', 'second runs', 'third runs']);
  });
});
