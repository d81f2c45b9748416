import { describe, expect, it } from 'vitest';
import type {
  ObjectStore,
  StoreChanges,
  StoreFailure,
  StoreResult,
} from '../source/object-store.js';
import { revisionOf } from '../source/storeRevision.js';
import { createDirectWatches } from './directWatches.js';

const KIND = 'configuration';

/** Watches that wait longer than this, in milliseconds, are never answered by the test store. */
const MAX_ANSWERED_WAIT_MS = 100;

const NO_CHANGES: StoreChanges<never> = { events: [], revision: 9 };
const CHANGE = { object: { name: 'current', revision: 6, spec: {} }, gone: false };

/**
 * Direct watches at a store that never answers a watch with a long wait, as on a silent connection.
 * It answers a watch with a short wait with `answer`, or with `failure` if `answer` is undefined.
 */
function watchesOnSilentConnection(
  answer: StoreChanges<unknown> | undefined,
  failure: StoreFailure = 'unknown',
) {
  const knownRevisions = new Map([[KIND, 3]]);
  const missedKinds: string[] = [];
  let shortCalls = 0;
  const longCalls: { signal: AbortSignal | undefined }[] = [];
  /** Number of short calls made before each call of `closeIdle`. */
  let shortCallsAtClose: number[] = [];
  const store = {
    closeIdle: () => {
      shortCallsAtClose = [...shortCallsAtClose, shortCalls];
    },
    watch: (_kind: string, _revision: number, waitMs: number, signal?: AbortSignal) => {
      if (waitMs > MAX_ANSWERED_WAIT_MS) {
        longCalls.push({ signal });
        return new Promise(() => {});
      }
      shortCalls += 1;
      const result = answer
        ? { ok: true, value: answer }
        : { ok: false, failure, detail: 'no answer' };
      return Promise.resolve(result as StoreResult<StoreChanges<unknown>>);
    },
  } as unknown as ObjectStore;
  const watches = createDirectWatches({
    store,
    knownRevision: (kind) => knownRevisions.get(kind),
    onNoMissedChanges: (kind, _from, revision) => knownRevisions.set(kind, revision),
    onMissedChanges: (kind) => missedKinds.push(kind),
  });
  return {
    watches,
    knownRevisions,
    missedKinds,
    longCalls,
    shortCalls: () => shortCalls,
    shortCallsAtClose: () => shortCallsAtClose,
  };
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('a watch whose connection has gone silent', () => {
  it('is aborted and answered by a check after two revisions that it has not reported', async () => {
    const node = watchesOnSilentConnection({ events: [CHANGE], revision: 6 });
    const watch = node.watches.watch(KIND, 3, 10_000);
    node.watches.noteRevision(6);
    await nextTurn();
    expect(node.shortCalls()).toBe(0);
    node.watches.noteRevision(6);
    expect(await watch).toMatchObject({ ok: true, value: { revision: 6, events: [CHANGE] } });
    expect(node.missedKinds).toEqual([KIND]);
    expect(node.longCalls[0]?.signal?.aborted).toBe(true);
  });

  it('is detected although the watch of another kind reports newer revisions', async () => {
    const node = watchesOnSilentConnection({ events: [CHANGE], revision: 6 });
    const watch = node.watches.watch(KIND, 3, 10_000);
    node.knownRevisions.set('nodes', 8);
    node.watches.noteRevision(8);
    node.watches.noteRevision(8);
    expect((await watch)?.ok).toBe(true);
  });

  it('is detected each time, also after earlier detections', async () => {
    const node = watchesOnSilentConnection({ events: [CHANGE], revision: 6 });
    for (let round = 0; round < 3; round += 1) {
      const watch = node.watches.watch(KIND, 3, 10_000);
      node.watches.noteRevision(6);
      node.watches.noteRevision(6);
      expect((await watch)?.ok).toBe(true);
    }
  });

  it('is checked again at each revision of the store while the check fails', async () => {
    const node = watchesOnSilentConnection(undefined);
    void node.watches.watch(KIND, 3, 10_000);
    for (let count = 0; count < 4; count += 1) {
      node.watches.noteRevision(6);
      await nextTurn();
    }
    expect(node.shortCalls()).toBe(3);
  });

  it('is checked on a new connection, after the idle ones have been closed', async () => {
    const node = watchesOnSilentConnection({ events: [CHANGE], revision: 6 });
    const watch = node.watches.watch(KIND, 3, 10_000);
    node.watches.noteRevision(6);
    node.watches.noteRevision(6);
    await watch;
    // The idle connections were closed before the first check.
    expect(node.shortCallsAtClose()[0]).toBe(0);
  });

  it('ends with history-gone if the check does, so that a list follows', async () => {
    const node = watchesOnSilentConnection(undefined, 'history-gone');
    const watch = node.watches.watch(KIND, 3, 10_000);
    node.watches.noteRevision(6);
    node.watches.noteRevision(6);
    expect(await watch).toMatchObject({ ok: false, failure: 'history-gone' });
  }, 2_000);

  it('ends with an error, like all others, when failAll is called', async () => {
    const node = watchesOnSilentConnection(undefined);
    const all = [node.watches.watch(KIND, 3, 10_000), node.watches.watch('nodes', 3, 10_000)];
    node.watches.failAll();
    for (const watch of all) {
      expect(await watch).toMatchObject({ ok: false, failure: 'unknown' });
    }
    expect(node.longCalls.every(({ signal }) => signal?.aborted)).toBe(true);
  });
});

describe('a watch of a kind without changes', () => {
  it('goes on after one check when the newer revision is of another kind', async () => {
    const node = watchesOnSilentConnection(NO_CHANGES);
    void node.watches.watch(KIND, 3, 10_000);
    for (let count = 0; count < 6; count += 1) {
      node.watches.noteRevision(9);
      await nextTurn();
    }
    expect(node.shortCalls()).toBe(1);
    expect(node.missedKinds).toEqual([]);
    expect(node.longCalls[0]?.signal?.aborted).toBe(false);
  });

  it('is not checked when it reports the revision before the store reports it again', async () => {
    const node = watchesOnSilentConnection(NO_CHANGES);
    void node.watches.watch(KIND, 3, 10_000);
    node.watches.noteRevision(6);
    node.knownRevisions.set(KIND, 6);
    node.watches.noteRevision(6);
    await nextTurn();
    expect(node.shortCalls()).toBe(0);
  });
});

describe('a watch that waits while the store is restored from a copy', () => {
  it('ends with history-gone if it is from the earlier era, and goes on if not', async () => {
    const node = watchesOnSilentConnection(NO_CHANGES);
    const earlier = node.watches.watch(KIND, 3, 10_000);
    let isSettled = false;
    void node.watches.watch('nodes', revisionOf(1, 2), 10_000).then(() => {
      isSettled = true;
    });
    node.watches.noteEra(1);
    expect(await earlier).toMatchObject({ ok: false, failure: 'history-gone' });
    await nextTurn();
    expect(isSettled).toBe(false);
    expect(node.longCalls.map(({ signal }) => signal?.aborted)).toEqual([true, false]);
  });
});
