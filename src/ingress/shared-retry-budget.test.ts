import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SharedRetryBudget } from './shared-retry-budget.js';

/** Pays for a retry whose run makes no calls. False if the budget does not allow it. */
function withdraw(budget: SharedRetryBudget, service: string, now: number): boolean {
  const cost = new Map([[service, 1]]);
  const isAllowed = budget.lacking(cost, now) === undefined;
  if (isAllowed) {
    budget.pay(cost, now);
  }
  return isAllowed;
}

const BOUND = { ratio: 0.2, windowMs: 10_000, slack: 64 };

describe('SharedRetryBudget', () => {
  it('keeps the sum over all nodes within the bound in every window', () => {
    const step = fc.record({
      node: fc.integer({ min: 0, max: 3 }),
      gapMs: fc.integer({ min: 0, max: 200 }),
      isRequest: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 50, maxLength: 600 }), (steps) => {
        const budgets = Array.from(
          { length: 4 },
          () => new SharedRetryBudget({ bound: () => BOUND, nodes: () => 4 }),
        );
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        for (const { node, gapMs, isRequest } of steps) {
          now += gapMs;
          const budget = budgets[node] as SharedRetryBudget;
          if (isRequest) {
            budget.noteRequest('desk', now);
            requests.push(now);
          } else if (withdraw(budget, 'desk', now)) {
            retries.push(now);
          }
        }
        for (const start of retries) {
          const within = (time: number) => time >= start && time < start + BOUND.windowMs;
          const bound = BOUND.ratio * requests.filter(within).length + BOUND.slack;
          expect(retries.filter(within).length).toBeLessThanOrEqual(bound);
        }
      }),
      { seed: 3, numRuns: 200 },
    );
  });

  it.each([2, 64, 195, 1_000])(
    'keeps the sum of the slack within the bound on %i nodes',
    (nodes) => {
      const budgets = Array.from(
        { length: nodes },
        () => new SharedRetryBudget({ bound: () => BOUND, nodes: () => nodes }),
      );
      const retries = budgets.flatMap((budget) =>
        Array.from({ length: BOUND.slack }, () => withdraw(budget, 'desk', 0)).filter(Boolean),
      );
      expect(retries.length).toBeLessThanOrEqual(BOUND.slack);
    },
  );

  it('has no slack while the number of nodes is unknown', () => {
    let nodeCount = Number.POSITIVE_INFINITY;
    const budget = new SharedRetryBudget({ bound: () => BOUND, nodes: () => nodeCount });
    expect(withdraw(budget, 'desk', 0)).toBe(false);
    nodeCount = 2;
    expect(withdraw(budget, 'desk', 0)).toBe(true);
  });

  it('does not take a larger part of the slack while other nodes are away', () => {
    let nodeCount = 64;
    const budget = new SharedRetryBudget({ bound: () => BOUND, nodes: () => nodeCount });
    expect(withdraw(budget, 'desk', 0)).toBe(true);
    nodeCount = 1;
    expect(withdraw(budget, 'desk', 0)).toBe(false);
  });

  it('allows no retry once it is spent, separately for each service', () => {
    const budget = new SharedRetryBudget({ bound: () => BOUND, nodes: () => 64 });
    expect(withdraw(budget, 'desk', 0)).toBe(true);
    expect(withdraw(budget, 'desk', 0)).toBe(false);
    expect(withdraw(budget, 'vault', 0)).toBe(true);
  });

  it('can be spent at once with all that the window has earned', () => {
    const budget = new SharedRetryBudget({ bound: () => BOUND, nodes: () => 32 });
    for (let now = 0; now < 10_000; now += 50) {
      budget.noteRequest('desk', now);
    }
    let spent = 0;
    while (withdraw(budget, 'desk', 9_999)) {
      spent += 1;
    }
    // Half of 0.2 x 200 requests, and one of the slack. The first part of the window may not count.
    expect(spent).toBeGreaterThanOrEqual(19);
    expect(spent).toBeLessThanOrEqual(21);
    expect(withdraw(budget, 'desk', 14_000)).toBe(false);
  });

  it('keeps the bound if requests come in waves, counted in windows up to one length earlier', () => {
    const bound = { ratio: 0.2, windowMs: 1_000, slack: 8 };
    const wave = fc.record({
      gapMs: fc.integer({ min: 0, max: 900 }),
      requests: fc.integer({ min: 0, max: 200 }),
      attempts: fc.integer({ min: 0, max: 60 }),
    });
    fc.assert(
      fc.property(fc.array(wave, { minLength: 3, maxLength: 25 }), (waves) => {
        const budgets = [0, 1, 2, 3].map(
          () => new SharedRetryBudget({ bound: () => bound, nodes: () => 4 }),
        );
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        for (const { gapMs, requests: arriving, attempts } of waves) {
          now += gapMs;
          for (let index = 0; index < arriving; index += 1) {
            (budgets[index % 4] as SharedRetryBudget).noteRequest('desk', now);
            requests.push(now);
          }
          for (let index = 0; index < attempts; index += 1) {
            if (withdraw(budgets[index % 4] as SharedRetryBudget, 'desk', now)) {
              retries.push(now);
            }
          }
        }
        const countIn = (times: number[], from: number) =>
          times.filter((time) => time >= from && time < from + bound.windowMs).length;
        for (const start of retries) {
          const counted = [0, 0.5, 1].map((part) =>
            countIn(requests, start - part * bound.windowMs),
          );
          const allowed = bound.ratio * Math.max(...counted) + bound.slack;
          expect(countIn(retries, start)).toBeLessThanOrEqual(allowed);
        }
      }),
      { seed: 5, numRuns: 300 },
    );
  });
});
