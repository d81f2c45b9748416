import { describe, expect, it } from 'vitest';
import { createMissingOwners } from './missingOwners.js';

/** Owners that live as the set says, and the ones that were forgotten. */
function missingOwners(living: Set<string>) {
  const state = { now: 0, asked: [] as string[], forgotten: [] as string[] };
  const missing = createMissingOwners({
    clock: { now: () => state.now },
    isAlive: (node) => {
      state.asked.push(node);
      return Promise.resolve(living.has(node));
    },
    forget: (node) => state.forgotten.push(node),
  });
  const askAt = async (now: number) => {
    state.now = now;
    missing.probeDue();
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { state, missing, askAt };
}

describe('createMissingOwners', () => {
  it('forgets an owner that does not answer, after the time to put its record back', async () => {
    const { state, missing, askAt } = missingOwners(new Set());
    missing.add('a');
    await askAt(2_900);
    expect(state.forgotten).toEqual([]);
    await askAt(3_000);
    expect(state.forgotten).toEqual(['a']);
    await askAt(9_000);
    expect(state.asked).toEqual(['a']);
  });

  it('keeps an owner while it answers, and asks again', async () => {
    const living = new Set(['a']);
    const { state, missing, askAt } = missingOwners(living);
    missing.add('a');
    await askAt(3_000);
    await askAt(6_000);
    expect(state.forgotten).toEqual([]);
    living.clear();
    await askAt(9_000);
    expect(state.forgotten).toEqual(['a']);
  });

  it('leaves an owner alone whose record is back, even while it is being asked', async () => {
    const { state, missing, askAt } = missingOwners(new Set());
    missing.add('a');
    missing.remove('a');
    await askAt(3_000);
    expect(state.asked).toEqual([]);
    missing.add('b');
    state.now = 6_000;
    missing.probeDue();
    missing.remove('b');
    await askAt(6_001);
    expect(state.forgotten).toEqual([]);
  });
});
