import { describe, expect, it } from 'vitest';
import { createRetryAfterPacer } from './retryAfterPacer.js';

/** Return times after a second in which so many requests were served. */
function afterSecond(served: number) {
  const times = createRetryAfterPacer();
  for (let index = 0; index < served; index += 1) {
    times.noteServed('desk', 1_000);
  }
  return times;
}

describe('createRetryAfterPacer', () => {
  it('spreads clients over the time that it takes to serve them', () => {
    const times = afterSecond(20);
    const told = [1, 2, 3].map(() => times.nextRetryAfterMs('desk', 60, 1_010));
    expect(told).toEqual([60, 110, 160]);
  });

  it('tells what an owner expects when nobody else was told to come back', () => {
    const times = afterSecond(20);
    expect(times.nextRetryAfterMs('desk', 300, 1_010)).toBe(300);
    expect(times.nextRetryAfterMs('vault', 70, 1_010)).toBe(70);
    expect(times.nextRetryAfterMs('desk', 5, 1_900)).toBe(20);
  });

  it('never sends a client away for longer than a second, and forgets a line that has passed', () => {
    const times = afterSecond(2);
    const told = [1, 2, 3].map(() => times.nextRetryAfterMs('desk', 400, 1_010));
    expect(told).toEqual([400, 900, 1_000]);
    expect(times.nextRetryAfterMs('desk', 50, 9_000)).toBe(50);
  });
});
