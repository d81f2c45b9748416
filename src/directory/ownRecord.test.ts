import { expect, it, vi } from 'vitest';
import { MemoryStore, StoreView } from '../../lab/memory-store.js';
import type { StoredObject } from '../source/object-store.js';
import type { OwnerRecord } from './owner-entry.js';
import { createOwnRecord } from './ownRecord.js';

const KIND = 'nodes';

/** A node's own record in a store, which tells it of what stands there when it reads anew. */
function recordIn(store: MemoryStore, tellsLeaving = true) {
  const view = new StoreView(store);
  let zone = 'a';
  const stored = () => store.kind(KIND).get('one') as StoredObject<OwnerRecord> | undefined;
  const record = createOwnRecord({
    store: view,
    kind: KIND,
    own: () => ({ node: 'one', zone, address: '10.0.0.1:1' }) as unknown as OwnerRecord,
    marksDeparture: () => tellsLeaving,
    refresh: async () => {
      const object = stored();
      if (object) {
        record.noteStored(object);
      }
    },
  });
  return { record, view, stored, moveTo: (next: string) => (zone = next) };
}

it('is written once, and again when it has changed', async () => {
  const { record, view, stored, moveTo } = recordIn(new MemoryStore());
  await record.publish();
  await record.publish();
  expect(view.calls).toBe(1);
  moveTo('b');
  await record.publish();
  expect(stored()?.spec).toMatchObject({ zone: 'b' });
  expect(view.calls).toBe(2);
});

it('takes the place of what another writer has put there', async () => {
  const store = new MemoryStore();
  const { record, stored } = recordIn(store);
  await record.publish();
  record.noteStored(store.put(KIND, 'one', 'something else') as StoredObject<OwnerRecord>);
  await record.publish();
  expect(stored()?.spec).toMatchObject({ node: 'one' });
});

it('is written after all when an earlier write of this node is carried out late', async () => {
  const store = new MemoryStore();
  const { record, view, stored } = recordIn(store);
  view.writesToDelay = 1;
  view.lateMs = 1;
  await record.publish();
  await vi.waitFor(() => expect(stored()).toBeDefined());
  const { revision } = stored() as StoredObject<OwnerRecord>;
  await record.stop(true);
  expect(stored()).toBeUndefined();
  expect(store.revision).toBe(revision + 2);
});

it('goes with a node that leaves, and stays of one that only stops', async () => {
  const store = new MemoryStore();
  const { record, stored } = recordIn(store);
  await record.publish();
  await record.stop(false);
  expect(stored()).toBeDefined();
  await record.stop(true);
  expect(stored()).toBeUndefined();
  // Who sees its end alone can tell it from a record that somebody else has removed.
  const last = store.log.at(-1);
  expect(last).toMatchObject({ gone: true, object: { spec: { node: 'one', hasLeft: true } } });
});

it('goes with one write where no node goes by who has left', async () => {
  const { record, view, stored } = recordIn(new MemoryStore(), false);
  await record.publish();
  const before = view.calls;
  await record.stop(true);
  expect(stored()).toBeUndefined();
  expect(view.calls).toBe(before + 1);
});
