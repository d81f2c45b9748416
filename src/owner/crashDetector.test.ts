import { describe, expect, it } from 'vitest';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import { createCrashDetector } from './crashDetector.js';
import type { OwnerOutcome } from './owner.js';

const LOST: OwnerOutcome = { kind: 'unknown', reason: 'connection-lost' };
const CANCELLED: OwnerOutcome = { kind: 'unknown', reason: 'cancelled' };
const REJECTED: OwnerOutcome = { kind: 'not-run', reason: 'busy', arrived: true };

function incarnationOf(instance: string, bornAt?: number): BackEndIncarnation {
  return { instance, bornAt };
}

/**
 * A detector for a simulated back end. The test sets its clock and whether the back end listens.
 */
function createTestDetector() {
  const state = { now: 0, isListening: true, portChecks: 0 };
  const crashes: { instance: string; requests: string[] }[] = [];
  const detector = createCrashDetector({
    clock: { now: () => state.now },
    isListening: async () => {
      state.portChecks += 1;
      return state.isListening;
    },
    onCrash: ({ instance }, inFlight) =>
      crashes.push({ instance, requests: inFlight.map(({ fingerprint }) => fingerprint) }),
  });
  const run = (fingerprint: string, instance = 'i-1', bornAt?: number) => {
    const monitoredRun = {
      incarnation: { instance, bornAt },
      address: 'a:1',
      request: { fingerprint, caller: 'desk', hadPriorCrash: false },
    };
    detector.begin(monitoredRun);
    return monitoredRun;
  };
  return { state, crashes, detector, run };
}

describe('createCrashDetector', () => {
  it('reports all requests in flight after one port check if nothing listens', async () => {
    const { state, crashes, detector, run } = createTestDetector();
    const [first, second] = [run('a'), run('b'), run('c')];
    state.isListening = false;
    const ends = [detector.end(first as never, LOST), detector.end(second as never, LOST)];
    expect(await Promise.all(ends)).toEqual([true, true]);
    expect(crashes).toEqual([{ instance: 'i-1', requests: ['a', 'b', 'c'] }]);
    expect(state.portChecks).toBe(1);
  });

  it('reports no crash for a connection that was only reset, nor for a rejected run', async () => {
    const { state, crashes, detector, run } = createTestDetector();
    expect(await detector.end(run('a'), LOST)).toBe(false);
    expect(await detector.end(run('b'), REJECTED)).toBe(false);
    state.now = 2_000;
    state.isListening = false;
    expect(await detector.end(run('c'), LOST)).toBe(true);
    expect(crashes).toEqual([{ instance: 'i-1', requests: ['c'] }]);
  });

  it('includes runs that were cancelled shortly before the crash', async () => {
    const { state, crashes, detector, run } = createTestDetector();
    expect(await detector.end(run('old'), CANCELLED)).toBe(false);
    state.now = 1_500;
    expect(await detector.end(run('left'), CANCELLED)).toBe(false);
    state.now = 1_600;
    state.isListening = false;
    await detector.end(run('lost'), LOST);
    expect(crashes[0]?.requests).toEqual(['left', 'lost']);
  });

  it('detects a crash by the next incarnation if it listened on the port at once', async () => {
    const { state, crashes, detector, run } = createTestDetector();
    await detector.end(run('a'), LOST);
    state.now = 1_000;
    detector.noteIncarnation(incarnationOf('i-1'));
    expect(crashes).toEqual([]);
    detector.noteIncarnation(incarnationOf('i-2'));
    detector.noteIncarnation(incarnationOf('i-2'));
    expect(crashes).toEqual([{ instance: 'i-1', requests: ['a'] }]);
  });

  it('detects a crash by a new `bornAt` if the back end restarts under the same id', async () => {
    const { state, crashes, detector, run } = createTestDetector();
    const running = run('b', 'i-1', 100);
    await detector.end(run('a', 'i-1', 100), LOST);
    state.now = 50;
    // Sent to the new incarnation, which is not known yet.
    const later = run('c', 'i-1', 100);
    state.now = 90;
    detector.noteIncarnation(incarnationOf('i-1', 200));
    expect(crashes).toEqual([{ instance: 'i-1', requests: ['a', 'b'] }]);
    state.isListening = false;
    await detector.end(running, LOST);
    expect(crashes).toHaveLength(1);
    await detector.end(later, LOST);
    await detector.end(run('d', 'i-1', 200), LOST);
    expect(crashes.at(-1)).toEqual({ instance: 'i-1', requests: ['d'] });
  });

  it('reports no crash for runs that were cancelled before a back end was replaced', async () => {
    const { state, crashes, detector, run } = createTestDetector();
    await detector.end(run('a'), CANCELLED);
    state.now = 100;
    detector.noteIncarnation(incarnationOf('i-2'));
    await detector.end(run('b', 'i-2'), LOST);
    state.now = 9_000;
    detector.noteIncarnation(incarnationOf('i-3'));
    expect(crashes).toEqual([]);
  });
});
