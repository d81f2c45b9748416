import { describe, expect, it } from 'vitest';
import type { RequestKey } from '../quarantine/crashLedger.js';
import { createReturnTimes } from './returnTimes.js';

/** Return times after a second in which so many requests were served. */
function afterSecond(served: number) {
  const times = createReturnTimes();
  for (let index = 0; index < served; index += 1) {
    times.noteServed('desk', 1_000);
  }
  return times;
}

let requests = 0;

function keyOf(fingerprint: string): RequestKey {
  return { fingerprint, caller: 'desk' };
}

/** A request like no other, of a client that has time. */
function refused(waitMs: number, service = 'desk', fingerprint = `request-${requests++}`) {
  return { service, key: keyOf(fingerprint), waitMs, leftMs: 60_000, startedAt: 1_010 };
}

describe('createReturnTimes', () => {
  it('spreads clients over the time that it takes to serve them', () => {
    const times = afterSecond(20);
    const told = [1, 2, 3].map(() => times.next(refused(60), 1_010));
    expect(told).toEqual([60, 110, 160]);
  });

  it('tells what an owner expects when nobody else was told to come back', () => {
    const times = afterSecond(20);
    expect(times.next(refused(300), 1_010)).toBe(300);
    expect(times.next(refused(70, 'vault'), 1_010)).toBe(70);
    expect(times.next(refused(5), 1_900)).toBe(20);
  });

  it('never sends a client away for longer than a second, and forgets a line that has passed', () => {
    const times = afterSecond(2);
    const told = [1, 2, 3].map(() => times.next(refused(400), 1_010));
    expect(told).toEqual([400, 900, 1_000]);
    expect(times.next(refused(50), 9_000)).toBe(50);
  });

  it('knows a client again that comes back as it was told, and one that comes earlier', () => {
    const times = afterSecond(20);
    expect(times.next(refused(200, 'desk', 'order'), 1_010)).toBe(200);
    expect(times.visitOf(keyOf('order'), 1_100)).toEqual({ firstAt: 1_010, isAsTold: false });
    expect(times.visitOf(keyOf('other'), 1_210)).toBeUndefined();
    expect(times.visitOf(keyOf('order'), 1_210)).toEqual({ firstAt: 1_010, isAsTold: true });
    expect(times.visitOf(keyOf('order'), 9_000)).toBeUndefined();
    times.next({ ...refused(200, 'desk', 'order'), startedAt: 1_210 }, 1_220);
    expect(times.visitOf(keyOf('order'), 1_500)).toEqual({ firstAt: 1_010, isAsTold: true });
  });

  it('leaves a client that repeats at once its place, and takes none from the others', () => {
    const times = afterSecond(20);
    times.next(refused(200, 'desk', 'hasty'), 1_010);
    const repeated = [1_020, 1_040, 1_060].map((now) =>
      times.next({ ...refused(200, 'desk', 'hasty'), startedAt: now }, now),
    );
    expect(repeated).toEqual([190, 170, 150]);
    expect(times.next(refused(60), 1_070)).toBe(190);
  });

  it('tells no time beyond that for which the client would wait', () => {
    const times = afterSecond(20);
    expect(times.next({ ...refused(900), leftMs: 600 }, 1_010)).toBe(200);
  });
});
