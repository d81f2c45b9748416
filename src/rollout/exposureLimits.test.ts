/**
 * Guards against limits of a version's owners whose sum exceeds the bound, which could come about
 * when an owner starts a new count or another leader has granted limits.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createExposureLimits, type ExposureLimits } from './exposureLimits.js';
import { type EvidenceReport, RolloutMessageKind } from './rolloutMessages.js';
import { RolloutPhase } from './rolloutOrder.js';

const NODES = ['a', 'b', 'c'];

function report(limits: ExposureLimits, node: string, more: Partial<EvidenceReport> = {}): void {
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

/** Allowance for `additional` requests, by default without a limit per owner. */
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
  it('distributes the allowance evenly over the owners', () => {
    const limits = createExposureLimits();
    for (const node of NODES) {
      report(limits, node);
    }
    limits.raiseLimits(new Set(NODES), allowance(9, 50));
    expect(limitsOf(limits)).toEqual([3, 3, 3]);
    report(limits, 'a', { taken: 3, limit: 3 });
    limits.raiseLimits(new Set(NODES), allowance(9, 50));
    expect(limitsOf(limits)).toEqual([6, 3, 3]);
  });

  // The owner that reported first was granted everything, and the others nothing for most of the
  // watch.
  it('leaves requests for owners that report later, with a limit per owner', () => {
    const limits = createExposureLimits();
    report(limits, 'a');
    limits.raiseLimits(new Set(NODES), allowance(20, 50, 4));
    expect(limitsOf(limits)).toEqual([4]);
    report(limits, 'b');
    report(limits, 'c');
    limits.raiseLimits(new Set(NODES), allowance(20, 50, 4));
    expect(limitsOf(limits)).toEqual([4, 4, 4]);
  });

  it('never grants limits whose sum exceeds the budget', () => {
    const limits = createExposureLimits();
    for (const node of NODES) {
      report(limits, node);
    }
    limits.raiseLimits(new Set(NODES), allowance(Number.POSITIVE_INFINITY, 20));
    expect(limitsOf(limits).reduce((sum, limit) => sum + limit, 0)).toBe(20);
    limits.raiseLimits(new Set(NODES), allowance(Number.POSITIVE_INFINITY, 19));
    expect(limitsOf(limits).reduce((sum, limit) => sum + limit, 0)).toBe(20);
  });

  it('includes limits of an earlier count of an owner, and those of another leader', () => {
    const limits = createExposureLimits();
    report(limits, 'a', { taken: 4, limit: 10 });
    report(limits, 'a', { countId: 'a-2' });
    expect(limits.taken).toBe(4);
    limits.raiseLimits(new Set(['a']), allowance(Number.POSITIVE_INFINITY, 25));
    expect(limits.limitsOf(new Set(['a']))).toEqual([{ node: 'a', countId: 'a-2', limit: 15 }]);
  });

  it('keeps the sum of limits within the budget in any order of events', () => {
    const event = fc.record({
      node: fc.constantFrom(...NODES),
      restarts: fc.nat(2),
      used: fc.double({ min: 0, max: 1, noNaN: true }),
      more: fc.nat(40),
      bound: fc.nat(60),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 40 }), (events) => {
        const limits = createExposureLimits();
        /** The highest limit that each count has received. */
        const received = new Map<string, number>();
        let highest = 0;
        for (const { node, restarts, used, more, bound } of events) {
          const countId = `${node}-${restarts}`;
          const limit = received.get(countId) ?? 0;
          report(limits, node, { countId, limit, taken: Math.floor(limit * used) });
          highest = Math.max(highest, bound);
          limits.raiseLimits(new Set(NODES), allowance(more, bound));
          for (const granted of limits.limitsOf(new Set(NODES))) {
            received.set(
              granted.countId,
              Math.max(received.get(granted.countId) ?? 0, granted.limit),
            );
          }
          const sum = [...received.values()].reduce((total, each) => total + each, 0);
          expect(sum).toBeLessThanOrEqual(highest);
        }
      }),
      { seed: 41, numRuns: 300 },
    );
  });
});
