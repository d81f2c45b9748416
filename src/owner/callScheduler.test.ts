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

describe('the turns of calls and clients', () => {
  it('put calls first among equals, also among tenants whose routes differ', () => {
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

  it('leave a quarter of the slots to clients that are as urgent, not to others', () => {
    const call = queued('call', { isCall: true });
    const client = queued('client');
    const idler = queued('idler', { priority: 2 });
    expect(afterCalls(2).next([call, client], context)).toBe(call);
    expect(afterCalls(3).next([call, client], context)).toBe(client);
    expect(afterCalls(3).next([call, idler], context)).toBe(call);
    expect(afterCalls(4).next([call], context)).toBe(call);
  });

  it('go after three calls to a client that has waited half of what it can', () => {
    const call = queued('call', { isCall: true });
    const client = queued('client');
    const many = { ...context, slots: 40 };
    expect(afterCalls(3).next([call, client], { ...many, now: 40 })).toBe(call);
    expect(afterCalls(3).next([call, client], { ...many, now: 41 })).toBe(client);
    expect(afterCalls(2).next([call, client], { ...many, now: 41 })).toBe(call);
    const turns = afterCalls(3);
    turns.noteStarted(client.request);
    expect(turns.next([call, client], { ...many, now: 41 })).toBe(call);
  });

  it('count the calls that run', () => {
    const call = queued('call', { isCall: true });
    const client = queued('client');
    const turns = afterCalls(3);
    turns.noteEnded(call.request);
    expect(turns.next([call, client], context)).toBe(call);
  });

  it('change nothing where no calls are known', () => {
    const [first, second] = [queued('first'), queued('second')];
    expect(createCallScheduler().next([first, second], context)).toBe(first);
    expect(createCallScheduler().next([], context)).toBeUndefined();
  });
});

function afterCalls(count: number): CallScheduler {
  const turns = createCallScheduler();
  for (let index = 0; index < count; index += 1) {
    turns.noteStarted({ isCall: true });
  }
  return turns;
}
