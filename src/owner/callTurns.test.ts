import { describe, expect, it } from 'vitest';
import { heldUntil, nextInTurn, rankOf, type TurnRequest } from './callTurns.js';

function queued(name: string, overrides: Partial<TurnRequest> = {}) {
  return { name, request: { priority: 1, targetAt: 100, deadlineAt: 400, ...overrides } };
}

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
    expect(nextInTurn([call, client], 2, 4)).toBe(call);
    expect(nextInTurn([call, client], 3, 4)).toBe(client);
    expect(nextInTurn([call, idler], 3, 4)).toBe(call);
    expect(nextInTurn([call], 4, 4)).toBe(call);
  });

  it('change nothing where no calls are known', () => {
    const [first, second] = [queued('first'), queued('second')];
    expect(nextInTurn([first, second], 0, 4)).toBe(first);
    expect(nextInTurn([], 0, 4)).toBeUndefined();
  });
});
