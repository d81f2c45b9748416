import { describe, expect, it } from 'vitest';
import {
  type CallScheduler,
  createCallScheduler,
  rankOf,
  type SchedulingContext,
  type SchedulingRequest,
} from './callScheduler.js';

function queued(name: string, overrides: Partial<SchedulingRequest> = {}) {
  const request = { route: name, priority: 1, targetAt: 100, deadlineAt: 400, ...overrides };
  return { name, since: 0, request };
}

const context: SchedulingContext = {
  slots: 4,
  now: 0,
  latestStartAt: ({ targetAt }) => targetAt - 20,
};

describe('createCallScheduler', () => {
  it('ranks calls before clients of the same priority, also for priorities within a tenant', () => {
    const ranks = [
      { priority: 0, isCall: false },
      { priority: 1, isCall: true },
      { priority: 1, isCall: false },
      { priority: 1 + 1 / 256, isCall: true },
      { priority: 1 + 1 / 256, isCall: false },
    ].map(rankOf);
    expect(ranks).toEqual([...ranks].sort((left, right) => left - right));
    expect(new Set(ranks).size).toBe(ranks.length);
  });

  it('reserves a quarter of the slots for clients of the same priority only', () => {
    const call = queued('call', { isCall: true });
    const client = queued('client');
    const background = queued('background', { priority: 2 });
    expect(afterCalls(2).next([call, client], context)).toBe(call);
    expect(afterCalls(3).next([call, client], context)).toBe(client);
    expect(afterCalls(3).next([call, background], context)).toBe(call);
    expect(afterCalls(4).next([call], context)).toBe(call);
  });

  it('chooses a client after three calls if half of its possible wait is over', () => {
    const call = queued('call', { isCall: true });
    const client = queued('client');
    const manySlots = { ...context, slots: 40 };
    expect(afterCalls(3).next([call, client], { ...manySlots, now: 40 })).toBe(call);
    expect(afterCalls(3).next([call, client], { ...manySlots, now: 41 })).toBe(client);
    expect(afterCalls(2).next([call, client], { ...manySlots, now: 41 })).toBe(call);
    const scheduler = afterCalls(3);
    scheduler.noteStarted(client.request);
    expect(scheduler.next([call, client], { ...manySlots, now: 41 })).toBe(call);
  });

  it('frees the slot of a call that has ended', () => {
    const call = queued('call', { isCall: true });
    const client = queued('client');
    const scheduler = afterCalls(3);
    scheduler.noteEnded(call.request);
    expect(scheduler.next([call, client], context)).toBe(call);
  });

  it('keeps the order of the queue if there are no calls', () => {
    const [first, second] = [queued('first'), queued('second')];
    expect(createCallScheduler().next([first, second], context)).toBe(first);
    expect(createCallScheduler().next([], context)).toBeUndefined();
  });
});

function afterCalls(count: number): CallScheduler {
  const scheduler = createCallScheduler();
  for (let index = 0; index < count; index += 1) {
    scheduler.noteStarted({ isCall: true });
  }
  return scheduler;
}
