import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { createWaiters } from './waiters.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

it('all that wait resume at the event, and leave no timer behind', async () => {
  const waiters = createWaiters();
  const all = Promise.all([waiters.wait(1_000), waiters.wait(2_000)]);
  waiters.wakeAll();
  await all;
  expect(vi.getTimerCount()).toBe(0);
});

it('one that waits resumes after its own time without the event', async () => {
  const waiters = createWaiters();
  const resumed: string[] = [];
  const short = waiters.wait(100).then(() => resumed.push('short'));
  void waiters.wait(200).then(() => resumed.push('long'));
  await vi.advanceTimersByTimeAsync(100);
  await short;
  expect(resumed).toEqual(['short']);
});

it('one that begins to wait when woken waits for the next event', async () => {
  const waiters = createWaiters();
  const resumed: string[] = [];
  const twice = waiters.wait(1_000).then(async () => {
    resumed.push('first');
    await waiters.wait(1_000);
    resumed.push('second');
  });
  waiters.wakeAll();
  await vi.advanceTimersByTimeAsync(0);
  expect(resumed).toEqual(['first']);
  waiters.wakeAll();
  await twice;
  expect(resumed).toEqual(['first', 'second']);
});
