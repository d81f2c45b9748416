import { describe, expect, it } from 'vitest';
import { createFailureShare } from './failureShare.js';
import { EMPTY_BODY } from './message-body.js';
import type { OwnerOutcome } from './owner.js';

const answer = (status: number): OwnerOutcome => ({
  kind: 'answer',
  status,
  headers: [],
  body: EMPTY_BODY,
});
const reset: OwnerOutcome = { kind: 'unknown', reason: 'connection-lost' };
const cancelled: OwnerOutcome = { kind: 'unknown', reason: 'cancelled' };

function shareAfter(outcomes: readonly OwnerOutcome[], tookMs = 20, usualMs = 20): number {
  const share = createFailureShare();
  for (const outcome of outcomes) {
    share.note(outcome, tookMs, usualMs);
  }
  return share.value;
}

describe('createFailureShare', () => {
  it('rises with failed tasks and falls with successful ones', () => {
    const failing = Array.from({ length: 60 }, (_, index) => (index % 2 ? reset : answer(200)));
    expect(shareAfter(failing)).toBeCloseTo(0.5, 1);
    expect(shareAfter([...failing, ...Array<OwnerOutcome>(40).fill(answer(200))])).toBeLessThan(
      0.02,
    );
  });

  it('counts a 5xx answer less than a lost connection, and a 404 answer not at all', () => {
    expect(shareAfter([answer(500)])).toBeLessThan(shareAfter([reset]));
    expect(shareAfter([answer(404)])).toBe(0);
  });

  it('counts a cancelled task as failed only if it took much longer than usual', () => {
    expect(shareAfter([cancelled], 40, 20)).toBe(0);
    expect(shareAfter([cancelled], 400, 20)).toBeGreaterThan(0);
  });
});
