import { expect, it } from 'vitest';
import { MemoryStore, StoreView } from '../../lab/memory-store.js';
import { Reading, type StoreQuestion } from '../source/object-store.js';
import { createRelayedStore } from './relayedStore.js';
import { createStoreCache } from './storeCache.js';
import { ZoneRole } from './zoneReaders.js';

const READER = { node: 'reader', zone: 'a', address: '10.0.0.1:1' };
const CONFIGURATION = 'configuration';
const NODES = 'nodes';
const PACE_MS = 100;

/** A follower's store whose reader never answers, and what the reader is asked. */
function followerOfSilentReader(patienceMs = PACE_MS) {
  const store = new MemoryStore();
  store.put(CONFIGURATION, 'current', { version: 1 });
  const clock = { now: () => performance.now() };
  const asked: { question: StoreQuestion; timeoutMs: number }[] = [];
  const relayed = createRelayedStore({
    clock,
    store: new StoreView(store),
    cache: createStoreCache({ clock, freshMs: PACE_MS }),
    nodeKind: NODES,
    paceMs: PACE_MS,
    patienceMs,
    zonePart: () => ({ role: ZoneRole.Follower, readers: [READER], elsewhere: () => [] }),
    ask: async (_address, question, timeoutMs) => {
      asked.push({ question, timeoutMs });
      await new Promise((resolve) => setTimeout(resolve, timeoutMs));
      return undefined;
    },
    onReader: () => {},
  });
  return { relayed, asked };
}

it('a node that starts waits for its reader a moment only, and asks the store', async () => {
  const { relayed } = followerOfSilentReader(2_000);
  const startedAt = performance.now();
  const listed = await relayed.list(CONFIGURATION, Reading.Lately);
  expect(listed).toMatchObject({ ok: true, value: { items: [{ name: 'current' }] } });
  expect(performance.now() - startedAt).toBeLessThan(250);
});

it('a list of now is asked of the store alone', async () => {
  const { relayed, asked } = followerOfSilentReader();
  expect(await relayed.list(CONFIGURATION, Reading.Now)).toMatchObject({ ok: true });
  expect(asked).toEqual([]);
});

it('a watch of the configuration finds a silent reader out in time, the directory takes longer', async () => {
  for (const [kind, longestMs] of [
    [CONFIGURATION, 2 * PACE_MS],
    [NODES, 5 * PACE_MS],
  ] as const) {
    const { relayed, asked } = followerOfSilentReader();
    await relayed.watch(kind, 1, 10_000);
    expect(asked.map(({ timeoutMs }) => timeoutMs)).toEqual([longestMs]);
  }
});
