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

/** Waits of watches above this are long, in milliseconds. */
const LONG_MS = 100;

const NOTHING: StoreChanges<never> = { events: [], revision: 9 };
const CHANGE = { object: { name: 'current', revision: 6, spec: {} }, gone: false };

/** Watches whose long waits are never answered, as on a silent connection; short ones are, with this. */
function onSilentConnection(
  answer: StoreChanges<unknown> | undefined,
  failure: StoreFailure = 'unknown',
) {
  const told = new Map([[KIND, 3]]);
  const silentKinds: string[] = [];
  let shortCalls = 0;
  const longCalls: { signal: AbortSignal | undefined }[] = [];
  let closedAt: number[] = [];
  const store = {
    closeIdle: () => {
      closedAt = [...closedAt, shortCalls];
    },
    watch: (_kind: string, _revision: number, waitMs: number, signal?: AbortSignal) => {
      if (waitMs > LONG_MS) {
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
    knownRevision: (kind) => told.get(kind),
    onNoMissedChanges: (kind, _from, revision) => told.set(kind, revision),
    onMissedChanges: (kind) => silentKinds.push(kind),
  });
  return {
    watches,
    told,
    silentKinds,
    longCalls,
    shortCalls: () => shortCalls,
    closedAt: () => closedAt,
  };
}

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('a watch that has gone silent', () => {
  it('is answered by a second question once it has not told at two looks, and is ended', async () => {
    const node = onSilentConnection({ events: [CHANGE], revision: 6 });
    const watch = node.watches.watch(KIND, 3, 10_000);
    node.watches.noteRevision(6);
    await settle();
    expect(node.shortCalls()).toBe(0);
    node.watches.noteRevision(6);
    expect(await watch).toMatchObject({ ok: true, value: { revision: 6, events: [CHANGE] } });
    expect(node.silentKinds).toEqual([KIND]);
    expect(node.longCalls[0]?.signal?.aborted).toBe(true);
  });

  it('is found out although the watch of another kind tells of newer revisions', async () => {
    const node = onSilentConnection({ events: [CHANGE], revision: 6 });
    const watch = node.watches.watch(KIND, 3, 10_000);
    node.told.set('nodes', 8);
    node.watches.noteRevision(8);
    node.watches.noteRevision(8);
    expect((await watch)?.ok).toBe(true);
  });

  it('is found out again and again, whatever was found before', async () => {
    const node = onSilentConnection({ events: [CHANGE], revision: 6 });
    for (let round = 0; round < 3; round += 1) {
      const watch = node.watches.watch(KIND, 3, 10_000);
      node.watches.noteRevision(6);
      node.watches.noteRevision(6);
      expect((await watch)?.ok).toBe(true);
    }
  });

  it('is asked about again at each look while the question fails', async () => {
    const node = onSilentConnection(undefined);
    void node.watches.watch(KIND, 3, 10_000);
    for (let look = 0; look < 4; look += 1) {
      node.watches.noteRevision(6);
      await settle();
    }
    expect(node.shortCalls()).toBe(3);
  });

  it('is asked about on a connection that did not rest beside it', async () => {
    const node = onSilentConnection({ events: [CHANGE], revision: 6 });
    const watch = node.watches.watch(KIND, 3, 10_000);
    node.watches.noteRevision(6);
    node.watches.noteRevision(6);
    await watch;
    // Closed before the first question.
    expect(node.closedAt()[0]).toBe(0);
  });

  it('is told that the history is gone, so that a list follows', async () => {
    const node = onSilentConnection(undefined, 'history-gone');
    const watch = node.watches.watch(KIND, 3, 10_000);
    node.watches.noteRevision(6);
    node.watches.noteRevision(6);
    expect(await watch).toMatchObject({ ok: false, failure: 'history-gone' });
  }, 2_000);

  it('is ended with all others, as failed, when the store is in doubt', async () => {
    const node = onSilentConnection(undefined);
    const all = [node.watches.watch(KIND, 3, 10_000), node.watches.watch('nodes', 3, 10_000)];
    node.watches.failAll();
    for (const watch of all) {
      expect(await watch).toMatchObject({ ok: false, failure: 'unknown' });
    }
    expect(node.longCalls.every(({ signal }) => signal?.aborted)).toBe(true);
  });
});

describe('a watch that has nothing to tell', () => {
  it('is left to wait when the newer revision is of another kind, which costs one question', async () => {
    const node = onSilentConnection(NOTHING);
    void node.watches.watch(KIND, 3, 10_000);
    for (let look = 0; look < 6; look += 1) {
      node.watches.noteRevision(9);
      await settle();
    }
    expect(node.shortCalls()).toBe(1);
    expect(node.silentKinds).toEqual([]);
    expect(node.longCalls[0]?.signal?.aborted).toBe(false);
  });

  it('costs none when it tells between two looks', async () => {
    const node = onSilentConnection(NOTHING);
    void node.watches.watch(KIND, 3, 10_000);
    node.watches.noteRevision(6);
    node.told.set(KIND, 6);
    node.watches.noteRevision(6);
    await settle();
    expect(node.shortCalls()).toBe(0);
  });
});

describe('a watch that waits while the store comes back from a copy', () => {
  it('ends as with its history gone; one that was sent since goes on', async () => {
    const node = onSilentConnection(NOTHING);
    const earlier = node.watches.watch(KIND, 3, 10_000);
    let isSettled = false;
    void node.watches.watch('nodes', revisionOf(1, 2), 10_000).then(() => {
      isSettled = true;
    });
    node.watches.noteEra(1);
    expect(await earlier).toMatchObject({ ok: false, failure: 'history-gone' });
    await settle();
    expect(isSettled).toBe(false);
    expect(node.longCalls.map(({ signal }) => signal?.aborted)).toEqual([true, false]);
  });
});
