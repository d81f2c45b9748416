import { describe, expect, it } from 'vitest';
import { createServiceTimes } from './serviceTimes.js';

describe('createServiceTimes', () => {
  it('keeps a mean by route, and one of all', () => {
    const times = createServiceTimes();
    expect(times.isKnown).toBe(false);
    for (let index = 0; index < 100; index += 1) {
      times.note('read', 100);
      times.note('book', 300);
    }
    expect(times.meanOf('read')).toBeCloseTo(100);
    expect(times.meanOf('book')).toBeCloseTo(300);
    expect(times.overallMs).toBeGreaterThan(180);
    expect(times.overallMs).toBeLessThan(220);
    expect(times.meanOf('new')).toBe(times.overallMs);
  });

  it('bounds an even time closely and an uneven one widely', () => {
    const times = createServiceTimes();
    for (let index = 0; index < 200; index += 1) {
      times.note('even', 100);
      times.note('uneven', index % 2 === 0 ? 50 : 150);
    }
    expect(times.boundOf('even')).toBeCloseTo(100);
    expect(times.boundOf('uneven')).toBeGreaterThan(190);
    expect(times.boundOf('uneven')).toBeLessThan(215);
  });
});
