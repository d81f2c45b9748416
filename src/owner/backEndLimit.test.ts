import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createBackEndLimit } from './backEndLimit.js';

const WINDOW_MS = 4_000;

/** Requests that the users' rule allows in a window of 4 s at a limit. */
const allowedIn4s = (perSecond: number): number => 1.5 * perSecond * 4 + 5;

/** Largest number of times within any window. */
function mostInWindow(times: readonly number[]): number {
  const counts = times.map((until) => times.filter((at) => at > until - WINDOW_MS && at <= until));
  return Math.max(0, ...counts.map(({ length }) => length));
}

/** Sends whenever the limit allows it, at steps of 5 ms, and returns the times. */
function sendAll(limit: ReturnType<typeof createBackEndLimit>, from: number, until: number) {
  const times: number[] = [];
  for (let now = from; now < until; now += 5) {
    while (limit.waitMs(0, now) === 0) {
      limit.take(now);
      times.push(now);
    }
  }
  return times;
}

describe('createBackEndLimit', () => {
  it('stays within the bound of any window and uses the whole limit', () => {
    fc.assert(
      fc.property(fc.double({ min: 0, max: 60, noNaN: true }), (perSecond) => {
        const limit = createBackEndLimit();
        limit.note(perSecond, 0);
        const times = sendAll(limit, 0, 20_000);
        expect(mostInWindow(times)).toBeLessThanOrEqual(allowedIn4s(perSecond));
        expect(times.length).toBeGreaterThanOrEqual(Math.floor(perSecond * 20));
      }),
      { seed: 54, numRuns: 60 },
    );
  });

  it('stays within the bound after an idle time', () => {
    const limit = createBackEndLimit();
    limit.note(4, 0);
    const times = sendAll(limit, 60_000, 70_000);
    expect(mostInWindow(times)).toBeLessThanOrEqual(allowedIn4s(4));
  });

  it('keeps no more than the burst of the new limit when it falls', () => {
    const limit = createBackEndLimit();
    limit.note(50, 0);
    limit.note(2, 10_000);
    const times = sendAll(limit, 10_000, 14_000);
    expect(times.length).toBeLessThanOrEqual(allowedIn4s(2));
    expect(times.filter((at) => at < 10_100).length).toBeLessThanOrEqual(2);
  });

  it('allows a request in two seconds at the lowest limits, whose answer may lift them', () => {
    const limit = createBackEndLimit();
    limit.note(0, 0);
    const times = sendAll(limit, 0, 20_000);
    expect(times.length).toBeGreaterThanOrEqual(9);
    expect(times.length).toBeLessThanOrEqual(11);
    limit.note(undefined, 20_000);
    expect(limit.waitMs(100, 20_000)).toBe(0);
  });

  it('returns how long a request waits behind others', () => {
    const limit = createBackEndLimit();
    limit.note(10, 0);
    expect(limit.waitMs(0, 0)).toBeCloseTo(100);
    expect(limit.waitMs(3, 0)).toBeCloseTo(400);
    limit.note(undefined, 0);
    expect(limit.waitMs(3, 0)).toBe(0);
  });

  it('counts a request admitted before the limit was named when it is sent', () => {
    const limit = createBackEndLimit();
    limit.note(undefined, 0);
    limit.take(0);
    limit.take(0);
    limit.note(1, 1_000);
    expect(limit.confirm(0, 2_000)).toBe(true);
    expect(limit.confirm(0, 2_000)).toBe(false);
    limit.refund(0, 2_000);
    expect(limit.waitMs(0, 2_000)).toBeGreaterThan(0);
  });

  it('takes back a request that was not sent', () => {
    const limit = createBackEndLimit();
    limit.note(1, 0);
    limit.take(1_000);
    expect(limit.confirm(1_000, 1_100)).toBe(true);
    limit.refund(1_000, 1_100);
    expect(limit.waitMs(0, 1_100)).toBe(0);
  });

  it('lets a new incarnation run few requests until it has answered', () => {
    const limit = createBackEndLimit();
    expect(limit.maxRunning).toBe(3);
    limit.noteAnswered();
    expect(limit.maxRunning).toBe(Number.POSITIVE_INFINITY);
    limit.reset();
    limit.note(1, 0);
    expect(limit.maxRunning).toBe(Number.POSITIVE_INFINITY);
    limit.reset();
    expect(limit).toMatchObject({ maxRunning: 3, perSecond: undefined });
    expect(limit.waitMs(5, 0)).toBe(0);
  });
});
