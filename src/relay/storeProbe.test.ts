import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { ObjectStore, StoreResult } from '../source/object-store.js';
import { type StoreProbe, startStoreProbe } from './storeProbe.js';
import { createStoreReachability } from './storeReachability.js';

const INTERVAL_MS = 600;

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;

const ANSWERED: StoreResult<number> = { ok: true, value: 4 };
const RESET: StoreResult<number> = { ok: false, failure: 'unknown', detail: 'reset' };

let storeProbe: StoreProbe;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  storeProbe.stop();
  vi.useRealTimers();
});

/**
 * Starts a probe of a store that answers as `probe` returns, and records changes of reachability.
 */
function startProbeOf(probe: () => Promise<StoreResult<number>>, isEnabled = () => true) {
  const clock = { now: () => Date.now() };
  const changes: string[] = [];
  const reach = createStoreReachability({
    clock,
    onChange: (isSuspected, detail) =>
      changes.push(`${isSuspected ? 'lost' : 'regained'}: ${detail}`),
  });
  let probes = 0;
  const revisions: number[] = [];
  storeProbe = startStoreProbe({
    clock,
    store: {
      probe: () => {
        probes += 1;
        return probe();
      },
    } as unknown as ObjectStore,
    reach,
    kind: 'nodes',
    intervalMs: INTERVAL_MS,
    isEnabled,
    onRevision: (revision) => revisions.push(revision),
  });
  return { reach, changes, revisions, probes: () => probes };
}

function silent(): Promise<never> {
  return new Promise(() => {});
}

describe('the store probe', () => {
  it('probes the store at its interval and reports the revision of the store', async () => {
    const { changes, revisions } = startProbeOf(async () => ANSWERED);
    await vi.advanceTimersByTimeAsync(INTERVAL_MS * 5);
    expect(revisions.length).toBeGreaterThanOrEqual(4);
    expect(revisions.length).toBeLessThanOrEqual(5);
    expect(changes).toEqual([]);
  });

  it('makes the store suspected after an unanswered probe, until a probe is answered', async () => {
    let answer: () => Promise<StoreResult<number>> = async () => ANSWERED;
    const { reach, changes } = startProbeOf(() => answer());
    await vi.advanceTimersByTimeAsync(INTERVAL_MS * 2);
    answer = silent;
    await vi.advanceTimersByTimeAsync(INTERVAL_MS + PROBE_TIMEOUT_MS + INTERVAL_MS / 8);
    expect(reach.isSuspected).toBe(true);
    answer = async () => ANSWERED;
    await vi.advanceTimersByTimeAsync(PROBE_TIMEOUT_MS + INTERVAL_MS / 8);
    expect(reach.isSuspected).toBe(false);
    expect(changes).toEqual(['lost: a probe was not answered', 'regained: answered']);
  });

  it('probes at a bounded rate while each probe fails at once', async () => {
    const { probes, reach } = startProbeOf(async () => RESET);
    await vi.advanceTimersByTimeAsync(PROBE_TIMEOUT_MS * 10);
    expect(reach.isSuspected).toBe(true);
    expect(probes()).toBeLessThanOrEqual(10);
  });

  it('does not make the store suspected after one failure, as of a closed idle connection', async () => {
    let isFirst = true;
    const { changes } = startProbeOf(async () => {
      const result = isFirst ? RESET : ANSWERED;
      isFirst = false;
      return result;
    });
    await vi.advanceTimersByTimeAsync(INTERVAL_MS * 4);
    expect(changes).toEqual([]);
  });

  it('sends no probes while it is disabled', async () => {
    const { probes } = startProbeOf(
      async () => ANSWERED,
      () => false,
    );
    await vi.advanceTimersByTimeAsync(INTERVAL_MS * 5);
    expect(probes()).toBe(0);
  });
});
