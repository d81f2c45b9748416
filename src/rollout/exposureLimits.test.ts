/** The limits of a version's owners: what they sum up to, whoever counts anew or gives them. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createExposureLimits, type ExposureLimits } from './exposureLimits.js';
import { type EvidenceReport, RolloutMessageKind } from './rolloutMessages.js';
import { RolloutPhase } from './rolloutOrder.js';

const NODES = ['a', 'b', 'c'];

function tell(limits: ExposureLimits, node: string, more: Partial<EvidenceReport> = {}): void {
  limits.addReport({
    kind: RolloutMessageKind.Evidence,
    service: 'desk',
    orderId: '1',
    ageMs: 0,
    node,
    phase: RolloutPhase.Watch,
    countId: `${node}-1`,
    sequence: 1,
    version: 'v2',
    readyMs: 0,
    slots: 8,
    load: 0,
    isFenced: false,
    taken: 0,
    limit: 0,
    counts: new Map(),
    ...more,
  });
}

/** So many requests more, for any owner, within a bound. */
const allowance = (
  additional: number,
  budget: number,
  additionalPerOwner = Number.POSITIVE_INFINITY,
) => ({
  additional,
  additionalPerOwner,
  budget,
});

const limitsOf = (limits: ExposureLimits, nodes = NODES) =>
  limits.limitsOf(new Set(nodes)).map(({ limit }) => limit);

describe('ExposureLimits', () => {
  it('are as large for one owner as for the next', () => {
    const limits = createExposureLimits();
    for (const node of NODES) {
      tell(limits, node);
    }
    limits.raiseLimits(new Set(NODES), allowance(9, 50));
    expect(limitsOf(limits)).toEqual([3, 3, 3]);
    tell(limits, 'a', { taken: 3, limit: 3 });
    limits.raiseLimits(new Set(NODES), allowance(9, 50));
    expect(limitsOf(limits)).toEqual([6, 3, 3]);
  });

  // One owner that reported first once got all, and the others nothing for most of the watch.
  it('leave something to owners that report later', () => {
    const limits = createExposureLimits();
    tell(limits, 'a');
    limits.raiseLimits(new Set(NODES), allowance(20, 50, 4));
    expect(limitsOf(limits)).toEqual([4]);
    tell(limits, 'b');
    tell(limits, 'c');
    limits.raiseLimits(new Set(NODES), allowance(20, 50, 4));
    expect(limitsOf(limits)).toEqual([4, 4, 4]);
  });

  it('never sum up to more than the bound', () => {
    const limits = createExposureLimits();
    for (const node of NODES) {
      tell(limits, node);
    }
    limits.raiseLimits(new Set(NODES), allowance(Number.POSITIVE_INFINITY, 20));
    expect(limitsOf(limits).reduce((sum, limit) => sum + limit, 0)).toBe(20);
    limits.raiseLimits(new Set(NODES), allowance(Number.POSITIVE_INFINITY, 19));
    expect(limitsOf(limits).reduce((sum, limit) => sum + limit, 0)).toBe(20);
  });

  it('count what was given to an owner that has counted anew since, and by another decider', () => {
    const limits = createExposureLimits();
    tell(limits, 'a', { taken: 4, limit: 10 });
    tell(limits, 'a', { countId: 'a-2' });
    expect(limits.taken).toBe(4);
    limits.raiseLimits(new Set(['a']), allowance(Number.POSITIVE_INFINITY, 25));
    expect(limits.limitsOf(new Set(['a']))).toEqual([{ node: 'a', countId: 'a-2', limit: 15 }]);
  });

  it('hold the bound in any order of reports, raises and restarts', () => {
    const event = fc.record({
      node: fc.constantFrom(...NODES),
      life: fc.nat(2),
      used: fc.double({ min: 0, max: 1, noNaN: true }),
      more: fc.nat(40),
      bound: fc.nat(60),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 40 }), (events) => {
        const limits = createExposureLimits();
        /** What each owner's count may take, as it knows itself. */
        const known = new Map<string, number>();
        let highest = 0;
        for (const { node, life, used, more, bound } of events) {
          const countId = `${node}-${life}`;
          const limit = known.get(countId) ?? 0;
          tell(limits, node, { countId, limit, taken: Math.floor(limit * used) });
          highest = Math.max(highest, bound);
          limits.raiseLimits(new Set(NODES), allowance(more, bound));
          for (const told of limits.limitsOf(new Set(NODES))) {
            known.set(told.countId, Math.max(known.get(told.countId) ?? 0, told.limit));
          }
          const sum = [...known.values()].reduce((total, each) => total + each, 0);
          expect(sum).toBeLessThanOrEqual(highest);
        }
      }),
      { seed: 41, numRuns: 300 },
    );
  });
});
