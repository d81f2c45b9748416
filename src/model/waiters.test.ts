import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { createWaiters } from './waiters.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

it('wakes all waiting callers at the event, and leaves no timers', async () => {
  const waiters = createWaiters();
  const all = Promise.all([waiters.wait(1_000), waiters.wait(2_000)]);
  waiters.wakeAll();
  await all;
  expect(vi.getTimerCount()).toBe(0);
});

it('wakes a caller after its own timeout if there is no event', async () => {
  const waiters = createWaiters();
  const woken: string[] = [];
  const short = waiters.wait(100).then(() => woken.push('short'));
  void waiters.wait(200).then(() => woken.push('long'));
  await vi.advanceTimersByTimeAsync(100);
  await short;
  expect(woken).toEqual(['short']);
});

it('does not wake a caller that waits again until the next event', async () => {
  const waiters = createWaiters();
  const woken: string[] = [];
  const twice = waiters.wait(1_000).then(async () => {
    woken.push('first');
    await waiters.wait(1_000);
    woken.push('second');
  });
  waiters.wakeAll();
  await vi.advanceTimersByTimeAsync(0);
  expect(woken).toEqual(['first']);
  waiters.wakeAll();
  await twice;
  expect(woken).toEqual(['first', 'second']);
});
