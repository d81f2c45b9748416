import { describe, expect, it } from 'vitest';
import { createServiceTimes } from './serviceTimes.js';

/** Slowness of a machine that changes after every tenth task. */
function slownessAt(task: number): number {
  return Math.floor(task / 10) % 2 === 0 ? 1 : 2.5;
}

describe('createServiceTimes', () => {
  it('predicts the average of past times if no slowness is reported', () => {
    const times = createServiceTimes();
    expect(times.meanMs).toBeUndefined();
    times.note('read', 100, 1);
    times.note('read', 200, 1);
    expect(times.expectedMs('read')).toBeCloseTo(110);
    expect(times.meanMs).toBeCloseTo(110);
    expect(times.expectedMs('other')).toBeCloseTo(110);
  });

  it('applies a change of the reported slowness before tasks have been measured at it', () => {
    let slowness = 1;
    const times = createServiceTimes(() => slowness);
    for (let task = 0; task < 100; task += 1) {
      times.note('read', 100 * slownessAt(task), slownessAt(task));
    }
    slowness = 1;
    expect(times.expectedMs('read')).toBeCloseTo(100, -1);
    slowness = 2.5;
    expect(times.expectedMs('read')).toBeCloseTo(250, -1);
  });

  it('ignores a reported slowness that does not match the measured times', () => {
    let slowness = 1;
    const times = createServiceTimes(() => slowness);
    for (let task = 0; task < 100; task += 1) {
      times.note('read', 100, slownessAt(task));
    }
    slowness = 2.5;
    expect(times.expectedMs('read')).toBeCloseTo(100, -1);
  });

  it('returns to the averages if the reported slowness becomes wrong', () => {
    let slowness = 1;
    const times = createServiceTimes(() => slowness);
    for (let task = 0; task < 100; task += 1) {
      times.note('read', 100 * slownessAt(task), slownessAt(task));
    }
    for (let task = 0; task < 100; task += 1) {
      times.note('read', 100, 10);
    }
    slowness = 10;
    expect(times.expectedMs('read')).toBeLessThan(150);
  });
});
