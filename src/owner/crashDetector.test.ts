import { describe, expect, it } from 'vitest';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import { createCrashDetector } from './crashDetector.js';
import type { OwnerOutcome } from './owner.js';

const LOST: OwnerOutcome = { kind: 'unknown', reason: 'connection-lost' };
const LEFT: OwnerOutcome = { kind: 'unknown', reason: 'cancelled' };
const TURNED_AWAY: OwnerOutcome = { kind: 'not-run', reason: 'busy', arrived: true };

function lifeOf(instance: string, bornAt?: number): BackEndIncarnation {
  return { instance, bornAt };
}

/** A watch over a back end that listens or not, with a clock that the test sets. */
function watchOver() {
  const world = { now: 0, isListening: true, looks: 0 };
  const crashes: { instance: string; requests: string[] }[] = [];
  const watch = createCrashDetector({
    clock: { now: () => world.now },
    isListening: async () => {
      world.looks += 1;
      return world.isListening;
    },
    onCrash: ({ instance }, underWay) =>
      crashes.push({ instance, requests: underWay.map(({ fingerprint }) => fingerprint) }),
  });
  const run = (fingerprint: string, instance = 'i-1', bornAt?: number) => {
    const started = {
      incarnation: { instance, bornAt },
      address: 'a:1',
      request: { fingerprint, caller: 'desk', hadPriorCrash: false },
    };
    watch.begin(started);
    return started;
  };
  return { world, crashes, watch, run };
}

describe('the watch for crashes', () => {
  it('names all that was under way when nothing listens any more, with one look', async () => {
    const { world, crashes, watch, run } = watchOver();
    const [first, second] = [run('a'), run('b'), run('c')];
    world.isListening = false;
    const ends = [watch.end(first as never, LOST), watch.end(second as never, LOST)];
    expect(await Promise.all(ends)).toEqual([true, true]);
    expect(crashes).toEqual([{ instance: 'i-1', requests: ['a', 'b', 'c'] }]);
    expect(world.looks).toBe(1);
  });

  it('takes a connection that was merely reset for no crash, nor a run that ended', async () => {
    const { world, crashes, watch, run } = watchOver();
    expect(await watch.end(run('a'), LOST)).toBe(false);
    expect(await watch.end(run('b'), TURNED_AWAY)).toBe(false);
    world.now = 2_000;
    world.isListening = false;
    expect(await watch.end(run('c'), LOST)).toBe(true);
    expect(crashes).toEqual([{ instance: 'i-1', requests: ['c'] }]);
  });

  it('includes runs whose callers left shortly before', async () => {
    const { world, crashes, watch, run } = watchOver();
    expect(await watch.end(run('old'), LEFT)).toBe(false);
    world.now = 1_500;
    expect(await watch.end(run('left'), LEFT)).toBe(false);
    world.now = 1_600;
    world.isListening = false;
    await watch.end(run('lost'), LOST);
    expect(crashes[0]?.requests).toEqual(['left', 'lost']);
  });

  it('finds a crash by the next life where the port was taken again at once', async () => {
    const { world, crashes, watch, run } = watchOver();
    await watch.end(run('a'), LOST);
    world.now = 1_000;
    watch.noteIncarnation(lifeOf('i-1'));
    expect(crashes).toEqual([]);
    watch.noteIncarnation(lifeOf('i-2'));
    watch.noteIncarnation(lifeOf('i-2'));
    expect(crashes).toEqual([{ instance: 'i-1', requests: ['a'] }]);
  });

  it('tells a crash from a lost connection by the birth of a back end that is back under its id', async () => {
    const { world, crashes, watch, run } = watchOver();
    const running = run('b', 'i-1', 100);
    await watch.end(run('a', 'i-1', 100), LOST);
    world.now = 50;
    // Sent to the new life, which is not known yet.
    const later = run('c', 'i-1', 100);
    world.now = 90;
    watch.noteIncarnation(lifeOf('i-1', 200));
    expect(crashes).toEqual([{ instance: 'i-1', requests: ['a', 'b'] }]);
    world.isListening = false;
    await watch.end(running, LOST);
    expect(crashes).toHaveLength(1);
    await watch.end(later, LOST);
    await watch.end(run('d', 'i-1', 200), LOST);
    expect(crashes.at(-1)).toEqual({ instance: 'i-1', requests: ['d'] });
  });

  it('does not blame callers that left before a back end was replaced', async () => {
    const { world, crashes, watch, run } = watchOver();
    await watch.end(run('a'), LEFT);
    world.now = 100;
    watch.noteIncarnation(lifeOf('i-2'));
    await watch.end(run('b', 'i-2'), LOST);
    world.now = 9_000;
    watch.noteIncarnation(lifeOf('i-3'));
    expect(crashes).toEqual([]);
  });
});
