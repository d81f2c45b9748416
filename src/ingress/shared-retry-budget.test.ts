import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SharedRetryBudget } from './shared-retry-budget.js';

const BOUND = { ratio: 0.2, windowMs: 10_000, slack: 64 };

describe('SharedRetryBudget', () => {
  it('keeps the sum over all nodes inside the bound in every window', () => {
    const step = fc.record({
      node: fc.integer({ min: 0, max: 3 }),
      gapMs: fc.integer({ min: 0, max: 200 }),
      isRequest: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 50, maxLength: 600 }), (steps) => {
        const budgets = Array.from(
          { length: 4 },
          () =>
            new SharedRetryBudget(
              () => BOUND,
              () => 4,
            ),
        );
        const requests: number[] = [];
        const repeats: number[] = [];
        let now = 0;
        for (const { node, gapMs, isRequest } of steps) {
          now += gapMs;
          const budget = budgets[node] as SharedRetryBudget;
          if (isRequest) {
            budget.noteRequest('desk', now);
            requests.push(now);
          } else if (budget.withdraw('desk', now)) {
            repeats.push(now);
          }
        }
        for (const start of repeats) {
          const within = (time: number) => time >= start && time < start + BOUND.windowMs;
          const bound = BOUND.ratio * requests.filter(within).length + BOUND.slack;
          expect(repeats.filter(within).length).toBeLessThanOrEqual(bound);
        }
      }),
      { seed: 3, numRuns: 200 },
    );
  });

  it('refuses when it is spent, and keeps services apart', () => {
    const budget = new SharedRetryBudget(
      () => BOUND,
      () => 64,
    );
    expect(budget.withdraw('desk', 0)).toBe(true);
    expect(budget.withdraw('desk', 0)).toBe(false);
    expect(budget.withdraw('vault', 0)).toBe(true);
  });
});
