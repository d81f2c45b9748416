import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { ObjectStore, StoreResult } from '../source/object-store.js';
import { type StoreProbe, startStoreProbe } from './storeProbe.js';
import { createStoreReachability } from './storeReachability.js';

const PACE_MS = 600;

/** A proof's patience, in milliseconds. */
const PATIENCE_MS = 500;

const ANSWERED: StoreResult<number> = { ok: true, value: 4 };
const RESET: StoreResult<number> = { ok: false, failure: 'unknown', detail: 'reset' };

let proof: StoreProbe;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  proof.stop();
  vi.useRealTimers();
});

/** A node whose proofs meet with what `probe` says, and what became of its reach. */
function nodeWith(probe: () => Promise<StoreResult<number>>, isEnabled = () => true) {
  const clock = { now: () => Date.now() };
  const changes: string[] = [];
  const reach = createStoreReachability({
    clock,
    onChange: (isInDoubt, detail) => changes.push(`${isInDoubt ? 'lost' : 'regained'}: ${detail}`),
  });
  let probes = 0;
  const seen: number[] = [];
  proof = startStoreProbe({
    clock,
    store: {
      probe: () => {
        probes += 1;
        return probe();
      },
    } as unknown as ObjectStore,
    reach,
    kind: 'nodes',
    intervalMs: PACE_MS,
    isEnabled,
    onRevision: (revision) => seen.push(revision),
  });
  return { reach, changes, seen, probes: () => probes };
}

function silent(): Promise<never> {
  return new Promise(() => {});
}

describe('the proof of reach', () => {
  it('is asked for at its pace, and tells the revision of the store', async () => {
    const { changes, seen } = nodeWith(async () => ANSWERED);
    await vi.advanceTimersByTimeAsync(PACE_MS * 5);
    expect(seen.length).toBeGreaterThanOrEqual(4);
    expect(seen.length).toBeLessThanOrEqual(5);
    expect(changes).toEqual([]);
  });

  it('puts the store in doubt as soon as one is met with silence, and ends the doubt when one is answered', async () => {
    let answer: () => Promise<StoreResult<number>> = async () => ANSWERED;
    const { reach, changes } = nodeWith(() => answer());
    await vi.advanceTimersByTimeAsync(PACE_MS * 2);
    answer = silent;
    await vi.advanceTimersByTimeAsync(PACE_MS + PATIENCE_MS + PACE_MS / 8);
    expect(reach.isSuspected).toBe(true);
    answer = async () => ANSWERED;
    await vi.advanceTimersByTimeAsync(PATIENCE_MS + PACE_MS / 8);
    expect(reach.isSuspected).toBe(false);
    expect(changes).toEqual(['lost: a probe was not answered', 'regained: answered']);
  });

  it('is asked for at a bounded rate while it is refused at once', async () => {
    const { probes, reach } = nodeWith(async () => RESET);
    await vi.advanceTimersByTimeAsync(PATIENCE_MS * 10);
    expect(reach.isSuspected).toBe(true);
    expect(probes()).toBeLessThanOrEqual(10);
  });

  it('says nothing by one connection that was closed at rest', async () => {
    let isFirst = true;
    const { changes } = nodeWith(async () => {
      const result = isFirst ? RESET : ANSWERED;
      isFirst = false;
      return result;
    });
    await vi.advanceTimersByTimeAsync(PACE_MS * 4);
    expect(changes).toEqual([]);
  });

  it('is not asked for while another node speaks for the store', async () => {
    const { probes } = nodeWith(
      async () => ANSWERED,
      () => false,
    );
    await vi.advanceTimersByTimeAsync(PACE_MS * 5);
    expect(probes()).toBe(0);
  });
});
