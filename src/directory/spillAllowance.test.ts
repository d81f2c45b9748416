import { describe, expect, it } from 'vitest';
import { createSpillAllowance } from './spillAllowance.js';

describe('createSpillAllowance', () => {
  it('lets a small share of the large requests leave, whatever their number', () => {
    const allowance = createSpillAllowance();
    let left = 0;
    for (let request = 0; request < 1_000; request += 1) {
      allowance.earn();
      left += allowance.take() ? 1 : 0;
    }
    expect(left).toBeGreaterThan(90);
    expect(left).toBeLessThan(110);
  });
});
