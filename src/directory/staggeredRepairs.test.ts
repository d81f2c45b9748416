import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { createStaggeredRepairs, STAGGER_MS } from './staggeredRepairs.js';

const NODES = ['a', 'b', 'c', 'd'];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Schedules one repair on every node; `repairedBy` lists the nodes that have made it, in order. */
function startAll(repairedBy: string[]) {
  return NODES.map((own) => {
    const repairs = createStaggeredRepairs({ own: () => own, nodes: () => NODES });
    repairs.schedule('record', () => repairedBy.push(own));
    return repairs;
  });
}

it('runs the repair on one node after the other, once on each', () => {
  const repairedBy: string[] = [];
  startAll(repairedBy);
  vi.advanceTimersByTime(0);
  expect(repairedBy).toHaveLength(1);
  vi.advanceTimersByTime(STAGGER_MS);
  expect(repairedBy).toHaveLength(2);
  vi.advanceTimersByTime(NODES.length * STAGGER_MS);
  expect([...repairedBy].sort()).toEqual(NODES);
});

it('does not run the repair on nodes that have cancelled it', () => {
  const repairedBy: string[] = [];
  const all = startAll(repairedBy);
  vi.advanceTimersByTime(0);
  for (const repairs of all) {
    repairs.cancel('record');
  }
  vi.advanceTimersByTime(NODES.length * STAGGER_MS);
  expect(repairedBy).toHaveLength(1);
});

it('runs the repair at once on a node with an empty list of nodes', () => {
  const repairedBy: string[] = [];
  const repairs = createStaggeredRepairs({ own: () => 'alone', nodes: () => [] });
  repairs.schedule('record', () => repairedBy.push('alone'));
  vi.advanceTimersByTime(0);
  expect(repairedBy).toEqual(['alone']);
});
