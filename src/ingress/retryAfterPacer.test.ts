import { describe, expect, it } from 'vitest';
import { createRetryAfterPacer } from './retryAfterPacer.js';

/** A pacer after a second in which `served` requests were served. */
function pacerAfterSecond(served: number) {
  const pacer = createRetryAfterPacer();
  for (let index = 0; index < served; index += 1) {
    pacer.noteServed('desk', 1_000);
  }
  return pacer;
}

describe('createRetryAfterPacer', () => {
  it('spaces retry times by the time that a request takes to be served', () => {
    const pacer = pacerAfterSecond(20);
    const retryTimes = [1, 2, 3].map(() => pacer.nextRetryAfterMs('desk', 60, 1_010));
    expect(retryTimes).toEqual([60, 110, 160]);
  });

  it('returns the wait, at least 20 ms, if no retry is due at that time', () => {
    const pacer = pacerAfterSecond(20);
    expect(pacer.nextRetryAfterMs('desk', 300, 1_010)).toBe(300);
    expect(pacer.nextRetryAfterMs('vault', 70, 1_010)).toBe(70);
    expect(pacer.nextRetryAfterMs('desk', 5, 1_900)).toBe(20);
  });

  it('returns at most a second, and ignores retry times that have passed', () => {
    const pacer = pacerAfterSecond(2);
    const retryTimes = [1, 2, 3].map(() => pacer.nextRetryAfterMs('desk', 400, 1_010));
    expect(retryTimes).toEqual([400, 900, 1_000]);
    expect(pacer.nextRetryAfterMs('desk', 50, 9_000)).toBe(50);
  });
});
