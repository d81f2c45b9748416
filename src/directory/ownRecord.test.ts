import { expect, it, vi } from 'vitest';
import { MemoryStore, StoreView } from '../../lab/memory-store.js';
import type { StoredObject } from '../source/object-store.js';
import type { OwnerRecord } from './owner-entry.js';
import { createOwnRecord } from './ownRecord.js';

const KIND = 'nodes';

/** A node's own record; `refresh` reads the store's object, as the watcher of the records does. */
function createRecord(store: MemoryStore, marksDeparture = true) {
  const view = new StoreView(store);
  let zone = 'a';
  const stored = () => store.kind(KIND).get('one') as StoredObject<OwnerRecord> | undefined;
  const record = createOwnRecord({
    store: view,
    kind: KIND,
    own: () => ({ node: 'one', zone, address: '10.0.0.1:1' }) as unknown as OwnerRecord,
    marksDeparture: () => marksDeparture,
    refresh: async () => {
      const object = stored();
      if (object) {
        record.noteStored(object);
      }
    },
  });
  return { record, view, stored, moveTo: (next: string) => (zone = next) };
}

it('writes the record once, and again when it has changed', async () => {
  const { record, view, stored, moveTo } = createRecord(new MemoryStore());
  await record.publish();
  await record.publish();
  expect(view.calls).toBe(1);
  moveTo('b');
  await record.publish();
  expect(stored()?.spec).toMatchObject({ zone: 'b' });
  expect(view.calls).toBe(2);
});

it('replaces an object that another writer has put in its place', async () => {
  const store = new MemoryStore();
  const { record, stored } = createRecord(store);
  await record.publish();
  record.noteStored(store.put(KIND, 'one', 'something else') as StoredObject<OwnerRecord>);
  await record.publish();
  expect(stored()?.spec).toMatchObject({ node: 'one' });
});

it('finds the record of a write that the store has executed late, and can remove it', async () => {
  const store = new MemoryStore();
  const { record, view, stored } = createRecord(store);
  view.writesToDelay = 1;
  view.lateMs = 1;
  await record.publish();
  await vi.waitFor(() => expect(stored()).toBeDefined());
  const { revision } = stored() as StoredObject<OwnerRecord>;
  await record.stop(true);
  expect(stored()).toBeUndefined();
  expect(store.revision).toBe(revision + 2);
});

it('marks and removes the record of a leaving node, and keeps that of a stopping one', async () => {
  const store = new MemoryStore();
  const { record, stored } = createRecord(store);
  await record.publish();
  await record.stop(false);
  expect(stored()).toBeDefined();
  await record.stop(true);
  expect(stored()).toBeUndefined();
  // The mark distinguishes the departure from a removal by another writer.
  const last = store.log.at(-1);
  expect(last).toMatchObject({ gone: true, object: { spec: { node: 'one', hasLeft: true } } });
});

it('removes the record without the mark if no node depends on it', async () => {
  const { record, view, stored } = createRecord(new MemoryStore(), false);
  await record.publish();
  const before = view.calls;
  await record.stop(true);
  expect(stored()).toBeUndefined();
  expect(view.calls).toBe(before + 1);
});
