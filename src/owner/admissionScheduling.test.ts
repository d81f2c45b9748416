/**
 * Scheduling of tenants at a full back end: which task runs next and which one is displaced. Guards
 * against a tenant that sends more than its share and so crowds out the others.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/random.js';
import { AdmissionControl } from './admission-control.js';
import type { AdmissionRequest, Waiter } from './admissionRequest.js';

const SLOTS = 10;
const SERVICE_MS = 100;
/** Target latency: five times the service time. */
const TARGET_MS = 500;
const DURATION_MS = 20_000;

/**
 * Requests per second by tenant: one overloads a service of 100 per second; nine others send few.
 */
const OVERLOAD = new Map([
  ['large', 160],
  ...Array.from({ length: 9 }, (_, index) => [`small-${index}`, 5] as const),
]);

interface Arrival {
  readonly tenant: string;
  readonly request: AdmissionRequest;
}

interface Simulation {
  readonly shareOf: (tenant: string) => number;
  /** False if tasks name no tenant, as if no tenants were configured. */
  readonly isFair: boolean;
}

/** Simulates one owner. Returns the share of each tenant's requests that it runs in time. */
function servedShares({ shareOf, isFair }: Simulation, ratesPerS = OVERLOAD): Map<string, number> {
  const admission = new AdmissionControl(undefined, shareOf);
  const arrived = new Map<string, number>();
  const served = new Map<string, number>();
  const ends: { readonly at: number; readonly request: AdmissionRequest }[] = [];
  const random = seededRandom(40);
  let now = 0;
  const count = (counts: Map<string, number>, tenant: string) =>
    counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
  const run = ({ tenant, request }: Arrival): void => {
    admission.noteStarted(request, now);
    ends.push({ at: now + SERVICE_MS, request });
    if (now + SERVICE_MS <= request.targetAt) {
      count(served, tenant);
    }
  };
  const arrive = (arrival: Arrival): void => {
    count(arrived, arrival.tenant);
    const { kind } = admission.decide(arrival.request, now);
    if (kind === 'run') {
      run(arrival);
    } else if (kind === 'wait') {
      const { request } = arrival;
      admission.enqueue({ request, since: now, admit: () => run(arrival), reject: () => {} });
    }
  };
  admission.setSlots(SLOTS, 0);
  for (; now < DURATION_MS; now += 1) {
    for (let due = ends[0]; due && due.at <= now; due = ends[0]) {
      ends.shift();
      admission.noteFinished(due.request, SERVICE_MS, now);
    }
    for (const [tenant, perS] of ratesPerS) {
      if (random() < perS / 1_000) {
        const targetAt = now + TARGET_MS;
        const common = { route: 'read', priority: 1, targetAt, deadlineAt: targetAt };
        const request = { ...common, mayWait: true, tenant: isFair ? tenant : undefined };
        arrive({ tenant, request });
      }
    }
  }
  return new Map([...arrived].map(([tenant, all]) => [tenant, (served.get(tenant) ?? 0) / all]));
}

const worstSmall = (shares: Map<string, number>): number =>
  Math.min(...[...shares].flatMap(([tenant, share]) => (tenant === 'large' ? [] : [share])));
/** Shares by rate limits of 100 per second for `large` and 8 per second for each other tenant. */
const byLimits = (tenant: string): number => (tenant === 'large' ? 100 : 8) / 172;
const evenly = (): number => 1 / OVERLOAD.size;
const servedPerS = (shares: Map<string, number>, ratesPerS = OVERLOAD): number =>
  [...shares].reduce((sum, [tenant, share]) => sum + share * (ratesPerS.get(tenant) ?? 0), 0);

describe('AdmissionControl with tenants at a full back end', () => {
  it('serves small tenants their shares while another one overloads the back end', () => {
    const byArrival = servedShares({ shareOf: byLimits, isFair: false });
    const equal = servedShares({ shareOf: evenly, isFair: true });
    const weighted = servedShares({ shareOf: byLimits, isFair: true });
    expect(worstSmall(byArrival)).toBeLessThan(0.7);
    expect(worstSmall(equal)).toBeGreaterThan(0.97);
    // Each share is 8 of 172: of 100 requests per second that is 4.65 of the 5 that are sent, 0.93.
    expect(servedPerS(weighted, new Map([...OVERLOAD].slice(1))) / 45).toBeGreaterThan(0.85);
    expect(weighted.get('large')).toBeGreaterThan(0.3);
    // The back end serves about as many requests as in the order of arrival.
    expect(servedPerS(weighted)).toBeGreaterThan(0.98 * servedPerS(byArrival));
  });

  it('serves nearly all requests of tenants that send less than their share', () => {
    const ratesPerS = new Map([...OVERLOAD].map(([tenant, perS]) => [tenant, perS - 1]));
    const shares = servedShares({ shareOf: byLimits, isFair: true }, ratesPerS);
    expect(worstSmall(shares)).toBeGreaterThan(0.95);
    expect(worstSmall(servedShares({ shareOf: byLimits, isFair: false }, ratesPerS))).toBeLessThan(
      0.7,
    );
  });

  it('serves tenants alike in a shortage if each sends in proportion to its share', () => {
    const ratesPerS = new Map([...OVERLOAD].map(([tenant]) => [tenant, 205 * byLimits(tenant)]));
    const shares = servedShares({ shareOf: byLimits, isFair: true }, ratesPerS);
    const small = servedPerS(shares, new Map([...ratesPerS].slice(1))) / (205 * (72 / 172));
    expect(Math.abs((shares.get('large') ?? 0) - small)).toBeLessThan(0.1);
  });
});

describe('AdmissionControl with a full queue', () => {
  const request = (tenant: string | undefined, priority = 1, targetAt = 10_000) => ({
    route: 'read',
    tenant,
    priority,
    targetAt,
    deadlineAt: targetAt,
    mayWait: true,
  });

  /** An owner with one slot, in use, a service time of 10 ms and an empty queue. */
  function fullOwner(shareOf = () => 1): { admission: AdmissionControl; events: string[] } {
    const admission = new AdmissionControl(undefined, shareOf);
    admission.setSlots(1, 0);
    for (let index = 0; index < 200; index += 1) {
      admission.noteStarted({}, 0);
      admission.noteFinished(request(undefined), 10, 0);
    }
    admission.noteStarted({}, 0);
    return { admission, events: [] };
  }

  const waiterOf = (taskRequest: AdmissionRequest, events: string[], name: string): Waiter => ({
    request: taskRequest,
    since: 0,
    admit: () => events.push(`${name} runs`),
    reject: () => events.push(`${name} is rejected`),
  });

  /**
   * An owner whose tenant `a` has recently used all of the back end, which is more than its share.
   */
  function overusedOwner(): { admission: AdmissionControl; events: string[] } {
    const owner = fullOwner(() => 0.1);
    for (let index = 0; index < 20; index += 1) {
      owner.admission.noteFinished(request('a'), 10, 0);
      owner.admission.noteStarted({ tenant: 'a' }, 0);
    }
    return owner;
  }

  it('displaces a tenant over its share only for a tenant within its share', () => {
    const { admission, events } = overusedOwner();
    for (let index = 0; index < 8; index += 1) {
      admission.enqueue(waiterOf(request('a'), events, `a${index}`));
    }
    expect(admission.decide(request('a'), 0).kind).toBe('busy');
    expect(admission.decide(request('b', 2), 0).kind).toBe('busy');
    expect(admission.decide(request('b'), 0).kind).toBe('wait');
    admission.enqueue(waiterOf(request('b'), events, 'b'));
    expect(events).toEqual(['a7 is rejected']);
    expect(admission.queued).toBe(8);
  });

  it('rejects a task at once if it can no longer be in time behind another tenant', () => {
    const { admission, events } = overusedOwner();
    admission.enqueue(waiterOf(request('a'), events, 'a0'));
    admission.enqueue(waiterOf(request('a', 1, 35), events, 'a1'));
    admission.enqueue(waiterOf(request('b'), events, 'b'));
    expect(events).toEqual(['a1 is rejected']);
  });

  it('lets a tenant pass tasks of a tenant over its share, but no more urgent tasks', () => {
    const { admission, events } = overusedOwner();
    admission.enqueue(waiterOf(request('a', 0), events, 'a0'));
    admission.enqueue(waiterOf(request('a', 1), events, 'a1'));
    admission.enqueue(waiterOf(request('b', 1), events, 'b'));
    for (let index = 0; index < 3; index += 1) {
      admission.noteFinished(request(undefined), 10, 20);
      admission.noteStarted({}, 20);
    }
    expect(events).toEqual(['a0 runs', 'b runs', 'a1 runs']);
  });

  it('settles each task once and never runs more tasks than slots, for any tenants', () => {
    const step = fc.record({
      arrives: fc.boolean(),
      priority: fc.integer({ min: 0, max: 2 }),
      tenant: fc.constantFrom(undefined, 'a', 'b', 'c'),
      withinMs: fc.integer({ min: 5, max: 200 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const { admission } = overusedOwner();
        const settled = new Map<number, number>();
        const settle = (index: number) => settled.set(index, (settled.get(index) ?? 0) + 1);
        steps.forEach(({ arrives, priority, tenant, withinMs }, now) => {
          const taskRequest = request(tenant, priority, now + withinMs);
          if (!arrives && admission.inFlight > 0) {
            admission.noteFinished(taskRequest, 10, now);
          } else if (arrives && admission.decide(taskRequest, now).kind === 'wait') {
            const admit = () => {
              admission.noteStarted(taskRequest, now);
              settle(now);
            };
            admission.enqueue({
              request: taskRequest,
              since: now,
              admit,
              reject: () => settle(now),
            });
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

  it('serves in the order of arrival if no task names a tenant', () => {
    const { admission, events } = fullOwner();
    for (const name of ['first', 'second', 'third']) {
      admission.enqueue(waiterOf(request(undefined), events, name));
    }
    for (let index = 0; index < 3; index += 1) {
      admission.noteFinished(request(undefined), 10, 20);
      admission.noteStarted({}, 0);
    }
    expect(events).toEqual(['first runs', 'second runs', 'third runs']);
  });
});
