/**
 * A store that has been restored from a copy uses the same revisions again. These tests guard
 * against watches and conditional writes that use a revision read before the restore.
 */
import { describe, expect, it } from 'vitest';
import { MemoryStore, StoreView } from '../../lab/memory-store.js';
import { createEraGuard, type EraGuard } from './eraGuard.js';
import { eraOf } from './storeRevision.js';

const KIND = 'orders';

/** Longer than the guard assumes the same era after an answer, in milliseconds. */
const LONG_MS = 1_000;

/** A guarded store that holds one object. The clock only moves when the test moves it. */
async function setUp() {
  const store = new MemoryStore();
  const view = new StoreView(store);
  const increases: number[][] = [];
  const clock = { ms: 0, now: () => clock.ms };
  const guard = createEraGuard({
    clock,
    store: view,
    onEraIncrease: (era, before) => increases.push([era, before]),
  });
  view.onEra = guard.noteEra;
  store.put(KIND, 'first', { of: 'the first era' });
  const read = await guard.get<unknown>(KIND, 'first');
  if (!read.ok) {
    throw new Error(read.failure);
  }
  return { store, view, guard, clock, increases, object: read.value };
}

/** Restores the store and writes another version of the object under the same revision. */
function restoreAndRewrite(store: MemoryStore): void {
  store.restore(0);
  store.put(KIND, 'first', { of: 'the second era' });
}

/** The writes that require the object to be unchanged since it was read. */
const CONDITIONAL_WRITES: readonly (readonly [
  string,
  (guard: EraGuard, object: { name: string; revision: number }) => Promise<unknown>,
])[] = [
  ['replace', (guard, object) => guard.replace(KIND, { ...object, spec: { of: 'this node' } })],
  ['status', (guard, object) => guard.replaceStatus(KIND, object, { state: 'done' })],
  ['remove', (guard, object) => guard.remove(KIND, object.name, object.revision)],
];

const storedObject = (store: MemoryStore) => store.kind(KIND).get('first');

describe('after the store has reported the new era', () => {
  it.each(CONDITIONAL_WRITES)(
    'rejects a write with a revision of the earlier era: %s',
    async (_name, write) => {
      const { store, guard, object } = await setUp();
      restoreAndRewrite(store);
      const before = storedObject(store);
      await guard.probe(KIND);
      expect(await write(guard, object)).toMatchObject({ ok: false, failure: 'conflict' });
      expect(storedObject(store)).toEqual(before);
    },
  );

  it('sends no watch from a revision of the earlier era', async () => {
    const { store, view, guard, object } = await setUp();
    restoreAndRewrite(store);
    await guard.probe(KIND);
    const { calls } = view;
    const result = await guard.watch(KIND, object.revision, LONG_MS);
    expect(result).toMatchObject({ ok: false, failure: 'history-gone' });
    expect(view.calls).toBe(calls);
  });

  it('reports each increase of the era once, and not the first era', async () => {
    const { store, guard, increases } = await setUp();
    store.restore(0);
    store.restore(0);
    await guard.probe(KIND);
    await guard.probe(KIND);
    expect(increases).toEqual([[2, 0]]);
    expect(guard.era).toBe(2);
  });
});

describe('before the store has reported the new era', () => {
  it.each(CONDITIONAL_WRITES)(
    'probes before a write if the store has not answered for a while: %s',
    async (_name, write) => {
      const { store, guard, clock, object } = await setUp();
      restoreAndRewrite(store);
      const before = storedObject(store);
      clock.ms += LONG_MS;
      expect(await write(guard, object)).toMatchObject({ ok: false, failure: 'conflict' });
      expect(storedObject(store)).toEqual(before);
    },
  );

  it.each(CONDITIONAL_WRITES)(
    'returns "unknown" for a write that changed a different object: %s',
    async (_name, write) => {
      const { store, guard, object } = await setUp();
      restoreAndRewrite(store);
      expect(await write(guard, object)).toMatchObject({ ok: false, failure: 'unknown' });
    },
  );

  it('does not write if the probe fails', async () => {
    const { store, view, guard, clock, object } = await setUp();
    clock.ms += LONG_MS;
    view.failure = 'unavailable';
    const result = await guard.remove(KIND, object.name, object.revision);
    expect(result).toMatchObject({ ok: false, failure: 'unavailable' });
    expect(storedObject(store)).toBeDefined();
  });

  it('returns "history-gone" for a watch from a revision that is in use again', async () => {
    const { store, guard, object } = await setUp();
    restoreAndRewrite(store);
    store.put(KIND, 'second', {});
    const result = await guard.watch(KIND, object.revision, LONG_MS);
    expect(result).toMatchObject({ ok: false, failure: 'history-gone' });
    const listed = await guard.list(KIND, 'now' as never);
    expect(listed.ok && eraOf(listed.value.revision)).toBe(1);
  });
});
