import { expect, it } from 'vitest';
import { arrivalsAfterLeaving, limitExcesses } from './noticeCheck.js';
import type { StatedNotice } from './statedNotices.js';

const CONTACT_MS = 3_000;

const notice = (at: number, limit: number | undefined, isLeaving = false): StatedNotice => ({
  at,
  bornAt: 1,
  limit,
  isLeaving,
});

/** Requests at an even rate. */
const arrivals = (from: number, until: number, perSecond: number) =>
  Array.from({ length: Math.floor(((until - from) / 1_000) * perSecond) }, (_, index) => ({
    requestId: String(index),
    at: from + (index * 1_000) / perSecond,
    bornAt: 1,
  }));

it('finds the windows in which a back end gets more than one and a half times its limit and five', () => {
  const history = [notice(0, 2)];
  expect(limitExcesses({ history, arrivals: arrivals(0, 12_000, 4) }, CONTACT_MS)).toEqual([]);
  const [first] = limitExcesses({ history, arrivals: arrivals(0, 12_000, 5) }, CONTACT_MS);
  expect(first).toMatchObject({ count: 20, allowed: 17 });
  expect(first?.until).toBe(7_000);
});

it('counts a limit that has fallen once its learning time is over', () => {
  const history = [notice(0, 10), notice(8_000, 1)];
  const before = arrivals(0, 8_000, 10);
  const kept = { history, arrivals: [...before, ...arrivals(8_500, 20_000, 2)] };
  expect(limitExcesses(kept, CONTACT_MS)).toEqual([]);
  const broken = { history, arrivals: [...before, ...arrivals(8_500, 20_000, 5)] };
  expect(limitExcesses(broken, CONTACT_MS)).not.toEqual([]);
});

it('counts nothing while no limit is named, or in another incarnation', () => {
  const history = [notice(0, 1), notice(3_500, undefined)];
  expect(limitExcesses({ history, arrivals: arrivals(0, 12_000, 50) }, CONTACT_MS)).toEqual([]);
  const next = arrivals(0, 12_000, 50).map((each) => ({ ...each, bornAt: 2 }));
  expect(limitExcesses({ history: [notice(0, 1)], arrivals: next }, CONTACT_MS)).toEqual([]);
});

it('finds requests that arrive too long after a back end has reported that it is leaving', () => {
  const history = [notice(1_000, undefined, true)];
  const late = arrivalsAfterLeaving({ history, arrivals: arrivals(0, 3_000, 1) }, 500);
  expect(late.map(({ at }) => at)).toEqual([2_000]);
});
