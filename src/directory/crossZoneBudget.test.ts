import { describe, expect, it } from 'vitest';
import { createCrossZoneBudget } from './crossZoneBudget.js';

describe('createCrossZoneBudget', () => {
  it('lets about a tenth of the large requests leave the zone', () => {
    const budget = createCrossZoneBudget();
    let withdrawn = 0;
    for (let request = 0; request < 1_000; request += 1) {
      budget.deposit();
      withdrawn += budget.tryWithdraw() ? 1 : 0;
    }
    expect(withdrawn).toBeGreaterThan(90);
    expect(withdrawn).toBeLessThan(110);
  });
});
