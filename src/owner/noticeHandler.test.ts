import { Left, Right } from 'purify-ts';
import { describe, expect, it } from 'vitest';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import { createBackEndLimit } from './backEndLimit.js';
import type { BackEndNotice } from './backEndNotice.js';
import { createNoticeHandler, NoticeSource } from './noticeHandler.js';

const FIRST = { instance: 'i-1', bornAt: 100 };
const SECOND = { instance: 'i-1', bornAt: 200 };
const LOAD = { running: 1, waiting: 2, slots: 4, slowness: undefined };

const unreadable = (message: string) => Left({ code: 'unreadable-header', path: 'Limit', message });

function setUp() {
  let current: BackEndIncarnation = FIRST;
  const events: string[] = [];
  const limit = createBackEndLimit();
  const handler = createNoticeHandler({
    clock: { now: () => 0 },
    limit,
    currentIncarnation: () => current,
    onLeaving: ({ bornAt }) => events.push(`${bornAt} leaves`),
    onLoad: ({ waiting }) => events.push(`load ${waiting}`),
    onNoticeChange: ({ field, limitPerS }) => events.push(`${field} ${limitPerS}`),
    onUnreadableNotice: (_incarnation, field, { message }) => events.push(`${field}: ${message}`),
  });
  const receive = (
    notice: Partial<BackEndNotice>,
    source = NoticeSource.Answer,
    incarnation: BackEndIncarnation = FIRST,
  ) =>
    handler.handle(
      { load: undefined, limitPerS: Right(undefined), isLeaving: Right(false), ...notice },
      incarnation,
      source,
    );
  const restart = () => {
    current = SECOND;
    limit.reset();
    handler.reset();
  };
  return { events, limit, receive, restart };
}

describe('createNoticeHandler', () => {
  it('applies the limit of the newest answer until an answer names none', () => {
    const { events, limit, receive } = setUp();
    receive({ limitPerS: Right(5) });
    receive({ limitPerS: Right(5) });
    expect(limit.perSecond).toBe(5);
    receive({ limitPerS: Right(2) });
    expect(limit.perSecond).toBe(2);
    receive({});
    expect(limit.perSecond).toBeUndefined();
    expect(events).toEqual(['limit 5', 'limit 2', 'limit undefined']);
  });

  it.each([NoticeSource.Rejection, NoticeSource.Health])(
    'applies a limit named in a %s, which cannot lift one',
    (source) => {
      const { limit, receive } = setUp();
      receive({ limitPerS: Right(5) }, source);
      expect(limit.perSecond).toBe(5);
      receive({}, source);
      expect(limit.perSecond).toBe(5);
    },
  );

  it('reports a value that cannot be read once, without effect', () => {
    const { events, limit, receive } = setUp();
    receive({ limitPerS: Right(5) });
    receive({ limitPerS: unreadable('found "x"') });
    receive({ limitPerS: unreadable('found "x"') });
    expect(limit.perSecond).toBe(5);
    expect(events).toEqual(['limit 5', 'limit: found "x"']);
  });

  it('does not hold back a back end whose first answer cannot be read', () => {
    const { limit, receive } = setUp();
    expect(limit.maxRunning).toBeLessThan(Number.POSITIVE_INFINITY);
    receive({ limitPerS: unreadable('found "x"') });
    expect(limit.maxRunning).toBe(Number.POSITIVE_INFINITY);
  });

  it('reports that the back end is leaving once', () => {
    const { events, receive } = setUp();
    receive({ isLeaving: Right(true) });
    receive({ isLeaving: Right(true) });
    receive({ isLeaving: Right(false) });
    expect(events).toEqual(['100 leaves', 'leaving undefined']);
  });

  it('ignores the late answer of an incarnation that has ended, its load included', () => {
    const { events, limit, receive, restart } = setUp();
    restart();
    receive(
      { limitPerS: Right(5), isLeaving: Right(true), load: LOAD },
      NoticeSource.Answer,
      FIRST,
    );
    expect(limit.perSecond).toBeUndefined();
    expect(events).toEqual([]);
    receive({ limitPerS: Right(3), load: LOAD }, NoticeSource.Answer, SECOND);
    expect(events).toEqual(['load 2', 'limit 3']);
  });
});
