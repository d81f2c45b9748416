import { expect, it } from 'vitest';
import { createRunLimiter } from './runLimiter.js';

it('admits nothing before the first limit arrives, and no more than the limit after it', () => {
  const limiter = createRunLimiter();
  expect(limiter.tryAcquire()).toBe(false);
  limiter.raiseLimit({ limit: 2, isUnlimited: false });
  expect([limiter.tryAcquire(), limiter.tryAcquire(), limiter.tryAcquire()]).toEqual([
    true,
    true,
    false,
  ]);
  expect(limiter.taken).toBe(2);
});

it('admits another request after one that did not reach the back end is released', () => {
  const limiter = createRunLimiter();
  limiter.raiseLimit({ limit: 1, isUnlimited: false });
  limiter.tryAcquire();
  limiter.release();
  expect(limiter.tryAcquire()).toBe(true);
});

it('keeps the highest limit when messages overtake one another, and counts while unlimited', () => {
  const limiter = createRunLimiter();
  limiter.raiseLimit({ limit: 2, isUnlimited: true });
  limiter.raiseLimit({ limit: 1, isUnlimited: true });
  expect([limiter.tryAcquire(), limiter.tryAcquire(), limiter.tryAcquire()]).toEqual([
    true,
    true,
    true,
  ]);
  limiter.raiseLimit({ limit: 2, isUnlimited: false });
  expect(limiter.tryAcquire()).toBe(false);
  expect(limiter.taken).toBe(3);
});
