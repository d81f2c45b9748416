import { describe, expect, it } from 'vitest';
import { createCrossZoneBudget } from './crossZoneBudget.js';

describe('createCrossZoneBudget', () => {
  it('lets a small share of the large requests leave, whatever their number', () => {
    const allowance = createCrossZoneBudget();
    let left = 0;
    for (let request = 0; request < 1_000; request += 1) {
      allowance.deposit();
      left += allowance.tryWithdraw() ? 1 : 0;
    }
    expect(left).toBeGreaterThan(90);
    expect(left).toBeLessThan(110);
  });
});
