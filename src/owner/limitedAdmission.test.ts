import { describe, expect, it } from 'vitest';
import { AdmissionControl } from './admission-control.js';
import type { AdmissionRequest } from './admissionRequest.js';
import { type BackEndLimit, createBackEndLimit } from './backEndLimit.js';
import { createLimitedStarts } from './limitedStarts.js';

const SLOTS = 4;

function requestOf(overrides: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    route: 'read',
    priority: 1,
    targetAt: 100_000,
    deadlineAt: 100_000,
    mayWait: true,
    ...overrides,
  };
}

/** An owner's admission in virtual time, at a back end that has named a limit. */
function setUp(perSecond: number) {
  const clock = { at: 0, now: () => clock.at };
  const limit: BackEndLimit = createBackEndLimit();
  limit.note(perSecond, 0);
  const admission = new AdmissionControl(undefined, undefined, limit);
  admission.setSlots(SLOTS, 0);
  let timer: { readonly callback: () => void; readonly at: number } | undefined;
  const starts = createLimitedStarts({
    clock,
    timers: {
      set: (callback, delayMs) => {
        const set = { callback, at: clock.at + delayMs };
        timer = set;
        return () => {
          timer = timer === set ? undefined : timer;
        };
      },
    },
    admission,
    limit,
  });
  const events: string[] = [];
  const enqueue = (name: string, request: AdmissionRequest) => {
    admission.enqueue({
      request,
      since: clock.at,
      admit: () => {
        admission.noteStarted(request, clock.at);
        events.push(`${name} ${Math.round(clock.at)}`);
      },
      reject: () => events.push(`${name} rejected ${Math.round(clock.at)}`),
    });
    starts.update();
  };
  const advance = (ms: number) => {
    const until = clock.at + ms;
    while (timer && timer.at <= until) {
      const { callback, at } = timer;
      timer = undefined;
      clock.at = at;
      callback();
    }
    clock.at = until;
  };
  return { clock, limit, admission, starts, events, enqueue, advance };
}

describe('AdmissionControl at a back end that names a limit', () => {
  it('rejects a task at once while the limit allows none, with the time of the next', () => {
    const { admission } = setUp(2);
    expect(admission.decide(requestOf(), 0)).toEqual({
      kind: 'busy',
      reason: 'limited',
      retryAfterMs: 500,
    });
  });

  it.each([
    ['a suspect request', { isExclusive: true }],
    ['a call', { isCall: true }],
    ['an urgent request', { priority: 0 }],
    ['a request that may not wait', { mayWait: false }],
  ])('counts %s like any other', (_kind, overrides) => {
    const { admission, advance, clock } = setUp(2);
    expect(admission.decide(requestOf(overrides), 0).kind).toBe('busy');
    advance(500);
    expect(admission.decide(requestOf(overrides), clock.at).kind).toBe('run');
    admission.noteStarted(requestOf(overrides), clock.at);
    expect(admission.decide(requestOf(overrides), clock.at)).toMatchObject({ reason: 'limited' });
  });

  it('starts tasks that wait for a moment at the pace of the limit', () => {
    const { admission, events, enqueue, advance, clock } = setUp(20);
    expect(admission.decide(requestOf(), clock.at).kind).toBe('wait');
    enqueue('first', requestOf());
    enqueue('second', requestOf());
    advance(1_000);
    expect(events).toEqual(['first 50', 'second 100']);
  });

  it('rejects waiting tasks when the limit falls, and never starts them late', () => {
    const { limit, starts, events, enqueue, advance, clock } = setUp(20);
    enqueue('first', requestOf());
    enqueue('second', requestOf());
    advance(60);
    limit.note(1, clock.at);
    starts.update();
    advance(5_000);
    expect(events).toEqual(['first 50', 'second rejected 60']);
  });

  it('starts waiting tasks at once when the limit is lifted', () => {
    const { limit, starts, events, enqueue, clock } = setUp(20);
    enqueue('first', requestOf());
    limit.note(undefined, clock.at);
    starts.update();
    expect(events).toEqual(['first 0']);
  });

  it('names the slots as the reason if they are', () => {
    const { admission, advance, clock } = setUp(1_000);
    advance(1_000);
    for (let index = 0; index < SLOTS; index += 1) {
      admission.noteStarted({}, clock.at);
    }
    expect(admission.decide(requestOf({ mayWait: false }), clock.at)).toMatchObject({
      reason: 'busy',
    });
  });
});
