import { describe, expect, it } from 'vitest';
import { createMissingOwners } from './missingOwners.js';

/** Missing owners of which those in `running` answer probes; records the probed and the removed. */
function setUp(running: Set<string>) {
  const state = { now: 0, probed: [] as string[], removed: [] as string[] };
  const missing = createMissingOwners({
    clock: { now: () => state.now },
    isAlive: (node) => {
      state.probed.push(node);
      return Promise.resolve(running.has(node));
    },
    forget: (node) => state.removed.push(node),
  });
  const probeAt = async (now: number) => {
    state.now = now;
    missing.probeDue();
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { state, missing, probeAt };
}

describe('createMissingOwners', () => {
  it('removes an owner that does not answer the probe three seconds after the loss', async () => {
    const { state, missing, probeAt } = setUp(new Set());
    missing.add('a');
    await probeAt(2_900);
    expect(state.removed).toEqual([]);
    await probeAt(3_000);
    expect(state.removed).toEqual(['a']);
    await probeAt(9_000);
    expect(state.probed).toEqual(['a']);
  });

  it('keeps an owner while it answers, and repeats the probe', async () => {
    const running = new Set(['a']);
    const { state, missing, probeAt } = setUp(running);
    missing.add('a');
    await probeAt(3_000);
    await probeAt(6_000);
    expect(state.removed).toEqual([]);
    running.clear();
    await probeAt(9_000);
    expect(state.removed).toEqual(['a']);
  });

  it('keeps an owner whose record is back before or during the probe', async () => {
    const { state, missing, probeAt } = setUp(new Set());
    missing.add('a');
    missing.remove('a');
    await probeAt(3_000);
    expect(state.probed).toEqual([]);
    missing.add('b');
    state.now = 6_000;
    missing.probeDue();
    missing.remove('b');
    await probeAt(6_001);
    expect(state.removed).toEqual([]);
  });
});
