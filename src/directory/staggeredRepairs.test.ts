import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { createStaggeredRepairs, STAGGER_MS } from './staggeredRepairs.js';

const NODES = ['a', 'b', 'c', 'd'];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** What each node does of one thing, in the order in which they do it. */
function startAll(acted: string[]) {
  return NODES.map((own) => {
    const turns = createStaggeredRepairs({ own: () => own, nodes: () => NODES });
    turns.schedule('record', () => acted.push(own));
    return turns;
  });
}

it('comes to the nodes one after the other, to each once', () => {
  const acted: string[] = [];
  startAll(acted);
  vi.advanceTimersByTime(0);
  expect(acted).toHaveLength(1);
  vi.advanceTimersByTime(STAGGER_MS);
  expect(acted).toHaveLength(2);
  vi.advanceTimersByTime(NODES.length * STAGGER_MS);
  expect([...acted].sort()).toEqual(NODES);
});

it('passes those that are told that it is done', () => {
  const acted: string[] = [];
  const all = startAll(acted);
  vi.advanceTimersByTime(0);
  for (const turns of all) {
    turns.cancel('record');
  }
  vi.advanceTimersByTime(NODES.length * STAGGER_MS);
  expect(acted).toHaveLength(1);
});

it('comes at once to a node that knows no other', () => {
  const acted: string[] = [];
  const turns = createStaggeredRepairs({ own: () => 'alone', nodes: () => [] });
  turns.schedule('record', () => acted.push('alone'));
  vi.advanceTimersByTime(0);
  expect(acted).toEqual(['alone']);
});
