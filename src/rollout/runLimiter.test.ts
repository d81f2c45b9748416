import { expect, it } from 'vitest';
import { createRunLimiter } from './runLimiter.js';

it('lets nothing through before the first word, and no more than the limit after it', () => {
  const gate = createRunLimiter();
  expect(gate.tryAcquire()).toBe(false);
  gate.raiseLimit({ limit: 2, isUnlimited: false });
  expect([gate.tryAcquire(), gate.tryAcquire(), gate.tryAcquire()]).toEqual([true, true, false]);
  expect(gate.taken).toBe(2);
});

it('gives back what has not reached the back end', () => {
  const gate = createRunLimiter();
  gate.raiseLimit({ limit: 1, isUnlimited: false });
  gate.tryAcquire();
  gate.release();
  expect(gate.tryAcquire()).toBe(true);
});

it('keeps the highest limit when words overtake one another, and counts while it is open', () => {
  const gate = createRunLimiter();
  gate.raiseLimit({ limit: 2, isUnlimited: true });
  gate.raiseLimit({ limit: 1, isUnlimited: true });
  expect([gate.tryAcquire(), gate.tryAcquire(), gate.tryAcquire()]).toEqual([true, true, true]);
  gate.raiseLimit({ limit: 2, isUnlimited: false });
  expect(gate.tryAcquire()).toBe(false);
  expect(gate.taken).toBe(3);
});
