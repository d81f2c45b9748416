import { describe, expect, it } from 'vitest';
import { createServiceTimes } from './serviceTimes.js';

/** Tasks of 100 ms at usual speed on a machine whose pace changes after every tenth. */
function paceOf(task: number): number {
  return Math.floor(task / 10) % 2 === 0 ? 1 : 2.5;
}

describe('service times', () => {
  it('are what tasks took where nothing is told', () => {
    const times = createServiceTimes();
    expect(times.meanMs).toBeUndefined();
    times.note('read', 100, 1);
    times.note('read', 200, 1);
    expect(times.expectedMs('read')).toBeCloseTo(110);
    expect(times.meanMs).toBeCloseTo(110);
    expect(times.expectedMs('other')).toBeCloseTo(110);
  });

  it('follow a pace that is told, before tasks have shown it', () => {
    let pace = 1;
    const times = createServiceTimes(() => pace);
    for (let task = 0; task < 100; task += 1) {
      times.note('read', 100 * paceOf(task), paceOf(task));
    }
    pace = 1;
    expect(times.expectedMs('read')).toBeCloseTo(100, -1);
    pace = 2.5;
    expect(times.expectedMs('read')).toBeCloseTo(250, -1);
  });

  it('do not follow a back end that tells something false', () => {
    let pace = 1;
    const times = createServiceTimes(() => pace);
    for (let task = 0; task < 100; task += 1) {
      times.note('read', 100, paceOf(task));
    }
    pace = 2.5;
    expect(times.expectedMs('read')).toBeCloseTo(100, -1);
  });

  it('are the averages again when a back end begins to lie', () => {
    let pace = 1;
    const times = createServiceTimes(() => pace);
    for (let task = 0; task < 100; task += 1) {
      times.note('read', 100 * paceOf(task), paceOf(task));
    }
    for (let task = 0; task < 100; task += 1) {
      times.note('read', 100, 10);
    }
    pace = 10;
    expect(times.expectedMs('read')).toBeLessThan(150);
  });
});
