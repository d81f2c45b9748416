import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { ObjectStore } from '../source/object-store.js';
import { createUntoldRevision, startReachProof } from './reachProof.js';
import { createStoreCache } from './storeCache.js';

const PACE_MS = 80;

describe('a revision that no watch tells of', () => {
  it('is noticed at the second look, once', () => {
    const staysUntold = createUntoldRevision();
    expect(staysUntold(5, 5)).toBe(false);
    expect(staysUntold(6, 5)).toBe(false);
    expect(staysUntold(6, 5)).toBe(true);
    // Of a kind that nobody watches: it is left alone from now on.
    expect(staysUntold(6, 5)).toBe(false);
    expect(staysUntold(7, 5)).toBe(false);
    expect(staysUntold(8, 5)).toBe(true);
  });

  it('is not noticed when a watch tells of it meanwhile, or of a part of what has come', () => {
    const staysUntold = createUntoldRevision();
    expect(staysUntold(6, 5)).toBe(false);
    expect(staysUntold(9, 6)).toBe(false);
    expect(staysUntold(9, 9)).toBe(false);
    expect(staysUntold(10, 9)).toBe(false);
  });
});

describe('the proof of reach', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function proofOf(probe: () => Promise<unknown>) {
    const clock = { now: () => Date.now() };
    const cache = createStoreCache({ clock, freshMs: PACE_MS });
    cache.noteList('nodes', { items: [], revision: 3 });
    let abandoned = 0;
    const store = { probe, abandonWatches: () => (abandoned += 1) } as unknown as ObjectStore;
    const proof = startReachProof({
      clock,
      store,
      cache,
      kind: 'nodes',
      paceMs: PACE_MS,
      isWanted: () => true,
      onReach: () => {},
      onUntold: () => {},
    });
    return { proof, cache, abandoned: () => abandoned };
  }

  it('ends watches that have gone silent while new connections work', async () => {
    let revision = 3;
    const { proof, abandoned } = proofOf(async () => ({ ok: true, value: revision }));
    await vi.advanceTimersByTimeAsync(PACE_MS * 5);
    expect(abandoned()).toBe(0);
    revision = 4;
    await vi.advanceTimersByTimeAsync(PACE_MS * 3);
    expect(abandoned()).toBe(1);
    await vi.advanceTimersByTimeAsync(PACE_MS * 10);
    expect(abandoned()).toBe(1);
    proof.stop();
  });

  it('ends them when the store is out of reach, and shows that the cache may not speak for it', async () => {
    const { proof, cache, abandoned } = proofOf(async () => ({ ok: false, failure: 'unknown' }));
    await vi.advanceTimersByTimeAsync(PACE_MS * 3);
    expect(abandoned()).toBe(1);
    expect(cache.isFresh).toBe(false);
    proof.stop();
  });
});
