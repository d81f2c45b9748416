import { describe, expect, it } from 'vitest';
import { MemoryStore, StoreView } from '../../lab/memory-store.js';
import { createEraGuard, type EraGuard } from './eraGuard.js';
import { eraOf } from './storeRevision.js';

const KIND = 'orders';

/** Longer than a store that has answered is taken to be in the same era, in milliseconds. */
const LONG_MS = 1_000;

/** A node's guarded way to a store that holds one object; the clock stands until it is moved. */
async function setUp() {
  const store = new MemoryStore();
  const view = new StoreView(store);
  const rises: number[][] = [];
  const clock = { ms: 0, now: () => clock.ms };
  const guard = createEraGuard({
    clock,
    store: view,
    onEraIncrease: (era, before) => rises.push([era, before]),
  });
  view.onEra = guard.noteEra;
  store.put(KIND, 'first', { of: 'the first era' });
  const read = await guard.get<unknown>(KIND, 'first');
  if (!read.ok) {
    throw new Error(read.failure);
  }
  return { store, view, guard, clock, rises, object: read.value };
}

/** The store gives the object's revision to another writing of it. */
function writeAnew(store: MemoryStore): void {
  store.restore(0);
  store.put(KIND, 'first', { of: 'the second era' });
}

/** Each write under the condition that the object is as it was read. */
const WRITES: readonly (readonly [
  string,
  (guard: EraGuard, object: { name: string; revision: number }) => Promise<unknown>,
])[] = [
  ['replace', (guard, object) => guard.replace(KIND, { ...object, spec: { of: 'this node' } })],
  ['status', (guard, object) => guard.replaceStatus(KIND, object, { state: 'done' })],
  ['remove', (guard, object) => guard.remove(KIND, object.name, object.revision)],
];

const held = (store: MemoryStore) => store.kind(KIND).get('first');

describe('a node that knows of the later era', () => {
  it.each(WRITES)('writes nothing on a condition of the earlier one: %s', async (_name, write) => {
    const { store, guard, object } = await setUp();
    writeAnew(store);
    const before = held(store);
    await guard.probe(KIND);
    expect(await write(guard, object)).toMatchObject({ ok: false, failure: 'conflict' });
    expect(held(store)).toEqual(before);
  });

  it('sends no watch of the earlier one', async () => {
    const { store, view, guard, object } = await setUp();
    writeAnew(store);
    await guard.probe(KIND);
    const { calls } = view;
    const result = await guard.watch(KIND, object.revision, LONG_MS);
    expect(result).toMatchObject({ ok: false, failure: 'history-gone' });
    expect(view.calls).toBe(calls);
  });

  it('hears of each rise once, and not of the first era', async () => {
    const { store, guard, rises } = await setUp();
    store.restore(0);
    store.restore(0);
    await guard.probe(KIND);
    await guard.probe(KIND);
    expect(rises).toEqual([[2, 0]]);
    expect(guard.era).toBe(2);
  });
});

describe('a node that does not know of it yet', () => {
  it.each(WRITES)('looks first when the store was quiet: %s', async (_name, write) => {
    const { store, guard, clock, object } = await setUp();
    writeAnew(store);
    const before = held(store);
    clock.ms += LONG_MS;
    expect(await write(guard, object)).toMatchObject({ ok: false, failure: 'conflict' });
    expect(held(store)).toEqual(before);
  });

  it.each(WRITES)('takes no write for done that met another object: %s', async (_name, write) => {
    const { store, guard, object } = await setUp();
    writeAnew(store);
    expect(await write(guard, object)).toMatchObject({ ok: false, failure: 'unknown' });
  });

  it('does not write while the store cannot be looked at', async () => {
    const { store, view, guard, clock, object } = await setUp();
    clock.ms += LONG_MS;
    view.failure = 'unavailable';
    const result = await guard.remove(KIND, object.name, object.revision);
    expect(result).toMatchObject({ ok: false, failure: 'unavailable' });
    expect(held(store)).toBeDefined();
  });

  it('is told nothing by a watch that the store has accepted at a revision given out again', async () => {
    const { store, guard, object } = await setUp();
    writeAnew(store);
    store.put(KIND, 'second', {});
    const result = await guard.watch(KIND, object.revision, LONG_MS);
    expect(result).toMatchObject({ ok: false, failure: 'history-gone' });
    const listed = await guard.list(KIND, 'now' as never);
    expect(listed.ok && eraOf(listed.value.revision)).toBe(1);
  });
});
