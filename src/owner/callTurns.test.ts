import { describe, expect, it } from 'vitest';
import { heldUntil, nextInTurn, rankOf, type TurnContext, type TurnRequest } from './callTurns.js';

function queued(name: string, overrides: Partial<TurnRequest> = {}) {
  const request = { route: name, priority: 1, targetAt: 100, deadlineAt: 400, ...overrides };
  return { name, since: 0, request };
}

const context: TurnContext = {
  runningCalls: 0,
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

  it('hold a call while its parent waits, and a client up to its target', () => {
    expect(heldUntil(queued('call', { isCall: true }).request)).toBe(400);
    expect(heldUntil(queued('client').request)).toBe(100);
  });

  it('leave a quarter of the slots to clients that are as urgent, not to others', () => {
    const call = queued('call', { isCall: true });
    const client = queued('client');
    const idler = queued('idler', { priority: 2 });
    expect(nextInTurn([call, client], { ...context, runningCalls: 2 })).toBe(call);
    expect(nextInTurn([call, client], { ...context, runningCalls: 3 })).toBe(client);
    expect(nextInTurn([call, idler], { ...context, runningCalls: 3 })).toBe(call);
    expect(nextInTurn([call], { ...context, runningCalls: 4 })).toBe(call);
  });

  it('go to a client that has let calls pass for half of its time', () => {
    const call = queued('call', { isCall: true });
    const client = queued('client');
    expect(nextInTurn([call, client], { ...context, now: 40 })).toBe(call);
    expect(nextInTurn([call, client], { ...context, now: 41 })).toBe(client);
  });

  it('change nothing where no calls are known', () => {
    const [first, second] = [queued('first'), queued('second')];
    expect(nextInTurn([first, second], context)).toBe(first);
    expect(nextInTurn([], context)).toBeUndefined();
  });
});
