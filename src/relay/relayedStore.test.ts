import { expect, it, vi } from 'vitest';
import { MemoryStore, StoreView } from '../../lab/memory-store.js';
import { ReadConsistency, type StoreQuery } from '../source/object-store.js';
import { createDirectWatches } from './directWatches.js';
import { createRelayedStore, type RelayedStoreContext } from './relayedStore.js';
import { createStoreCache } from './storeCache.js';
import { createStoreReachability } from './storeReachability.js';
import { ZoneRole } from './zoneReaders.js';

const READER = { node: 'reader', zone: 'a', address: '10.0.0.1:1' };
const CONFIGURATION = 'configuration';
const NODES = 'nodes';
const LONG_POLL_MS = 100;

type NodeOptions = Pick<RelayedStoreContext, 'zoneAssignment' | 'ask'> & {
  readonly responseTimeoutMs?: number;
};

/** The relayed store of a node, with its parts, over a store with one configuration. */
function nodeWith({ zoneAssignment, ask, responseTimeoutMs = LONG_POLL_MS }: NodeOptions) {
  const store = new MemoryStore();
  store.put(CONFIGURATION, 'current', { version: 1 });
  const view = new StoreView(store);
  const clock = { now: () => performance.now() };
  const reach = createStoreReachability({ clock, onChange: () => {} });
  const cache = createStoreCache({ clock, reach, era: () => 0, freshMs: LONG_POLL_MS });
  const watches = createDirectWatches({
    store: view,
    knownRevision: cache.revisionOf,
    onNoMissedChanges: () => {},
    onMissedChanges: () => {},
  });
  const relayed = createRelayedStore({
    clock,
    store: view,
    cache,
    reach,
    watches,
    nodeKind: NODES,
    configurationKind: CONFIGURATION,
    longPollMs: LONG_POLL_MS,
    responseTimeoutMs,
    zoneAssignment,
    ask,
    onReaderChange: () => {},
  });
  return { relayed, view, reach, watches };
}

/** The relayed store of a follower whose reader never answers, and the queries to the reader. */
function followerOfSilentReader(responseTimeoutMs = LONG_POLL_MS) {
  const queries: { query: StoreQuery; timeoutMs: number }[] = [];
  const { relayed } = nodeWith({
    responseTimeoutMs,
    zoneAssignment: () => ({
      role: ZoneRole.Follower,
      readers: [READER],
      otherZoneReaders: () => [],
    }),
    ask: async (_address, query, timeoutMs) => {
      queries.push({ query, timeoutMs });
      await new Promise((resolve) => setTimeout(resolve, timeoutMs));
      return undefined;
    },
  });
  return { relayed, queries };
}

it('a node that starts asks the store if its reader does not answer within a short time', async () => {
  const { relayed } = followerOfSilentReader(2_000);
  const startedAt = performance.now();
  const listed = await relayed.list(CONFIGURATION, ReadConsistency.BoundedStaleness);
  expect(listed).toMatchObject({ ok: true, value: { items: [{ name: 'current' }] } });
  expect(performance.now() - startedAt).toBeLessThan(250);
});

it('a list with strong consistency is requested from the store alone', async () => {
  const { relayed, queries } = followerOfSilentReader();
  expect(await relayed.list(CONFIGURATION, ReadConsistency.Strong)).toMatchObject({ ok: true });
  expect(queries).toEqual([]);
});

it('a silent reader is detected first for the configuration, then the directory, then others', async () => {
  for (const [kind, longestMs] of [
    [CONFIGURATION, 2 * LONG_POLL_MS],
    [NODES, 5 * LONG_POLL_MS],
    ['quarantines', 10_000 + LONG_POLL_MS],
  ] as const) {
    const { relayed, queries } = followerOfSilentReader();
    await relayed.watch(kind, 1, 10_000);
    expect(queries.map(({ timeoutMs }) => timeoutMs)).toEqual([longestMs]);
  }
});

/**
 * A node that is alone in its zone. The reader of another zone answers with the given revision, or
 * not at all if that is undefined.
 */
function nodeAloneInZone(otherZoneRevision: number | undefined) {
  return nodeWith({
    zoneAssignment: () => ({ role: ZoneRole.Alone, readers: [], otherZoneReaders: () => [READER] }),
    ask: async () => {
      const answers = otherZoneRevision !== undefined;
      return answers ? { ok: true, value: { events: [], revision: otherZoneRevision } } : undefined;
    },
  });
}

it('a direct watch is released as soon as a reader can be asked, and misses no change', async () => {
  let role = ZoneRole.Reader;
  const queries: string[] = [];
  const { relayed, view } = nodeWith({
    zoneAssignment: () => ({ role, readers: [READER], otherZoneReaders: () => [] }),
    ask: async (_address, { kind, revision = 0 }) => {
      queries.push(`${kind} ${revision}`);
      return { ok: true, value: { events: [], revision } };
    },
  });
  const directWatch = relayed.watch('quarantines', 1, 10_000);
  await vi.waitFor(() => expect(relayed.hasFallbackWatch).toBe(true));
  relayed.releaseDirectWatches();
  expect(relayed.hasFallbackWatch).toBe(true);
  role = ZoneRole.Follower;
  relayed.releaseDirectWatches();
  expect(await directWatch).toEqual({ ok: true, value: { events: [], revision: 1 } });
  // The release is not an answer of the store and does not make the node read directly again.
  expect(relayed.answeredAt).toBe(Number.NEGATIVE_INFINITY);
  expect(relayed.hasFallbackWatch).toBe(false);
  await relayed.watch('quarantines', 1, 10_000);
  expect(queries).toEqual(['quarantines 1']);
  // The test store counts a watch only when it answers it.
  expect(view.calls).toBe(0);
}, 2_000);

it('a direct watch is not released while the only reader is in backoff', async () => {
  const { relayed } = followerOfSilentReader(1);
  await relayed.watch(CONFIGURATION, 1, 10_000);
  void relayed.watch(NODES, 1, 10_000);
  await vi.waitFor(() => expect(relayed.hasFallbackWatch).toBe(true));
  relayed.releaseDirectWatches();
  expect(relayed.hasFallbackWatch).toBe(true);
});

it('a follower whose reader is unavailable asks the store first, then the spare reader', async () => {
  const spare = { node: 'spare', zone: 'a', address: '10.0.0.2:1' };
  const queries: string[] = [];
  const { relayed, view } = nodeWith({
    zoneAssignment: () => ({
      role: ZoneRole.Follower,
      readers: [READER, spare],
      otherZoneReaders: () => [],
    }),
    ask: async (address) => {
      queries.push(address);
      return address === READER.address
        ? { ok: false, failure: 'unavailable', detail: 'zone reader' }
        : { ok: true, value: { events: [], revision: 1 } };
    },
  });
  // The spare reader does not have the version that the node holds and would send the whole object.
  void relayed.watch('quarantines', 1, 10_000);
  await vi.waitFor(() => expect(view.calls).toBe(1));
  expect(queries).toEqual([READER.address]);
  expect(await relayed.watch('quarantines', 1, 10_000)).toMatchObject({ ok: true });
  expect(queries).toEqual([READER.address, spare.address]);
});

/**
 * A follower whose first reader answers `unavailable` to the first query only, and whose spare
 * reader answers `unavailable` once the backoff of the first reader is over.
 */
function followerOfSpareReader() {
  const spare = { node: 'spare', zone: 'a', address: '10.0.0.2:1' };
  const queries: string[] = [];
  const { relayed, view } = nodeWith({
    zoneAssignment: () => ({
      role: ZoneRole.Follower,
      readers: [READER, spare],
      otherZoneReaders: () => [],
    }),
    ask: async (address, { kind, revision = 0 }) => {
      queries.push(`${address} ${kind}`);
      if (address === spare.address) {
        await new Promise((resolve) => setTimeout(resolve, 1.5 * LONG_POLL_MS));
      }
      return address === spare.address || queries.length === 1
        ? { ok: false, failure: 'unavailable', detail: 'zone reader' }
        : { ok: true, value: { events: [], revision } };
    },
  });
  return { relayed, view, queries, spare };
}

it('a follower whose spare reader becomes unavailable asks its first reader, not the store', async () => {
  const { relayed, view, queries, spare } = followerOfSpareReader();
  await relayed.watch(NODES, 1, 10_000);
  const before = view.calls;
  expect(await relayed.watch('quarantines', 1, 10_000)).toMatchObject({ ok: true });
  expect(view.calls).toBe(before);
  expect(queries.slice(1)).toEqual([
    `${spare.address} quarantines`,
    `${READER.address} quarantines`,
  ]);
  expect(relayed.isFollowing).toBe(true);
});

it('a watch of the configuration goes to the store when its reader becomes unavailable', async () => {
  const { relayed, view, queries, spare } = followerOfSpareReader();
  await relayed.watch(NODES, 1, 10_000);
  const before = view.calls;
  expect(await relayed.watch(CONFIGURATION, 1, 10_000)).toMatchObject({ ok: true });
  expect(view.calls).toBe(before + 1);
  expect(queries.slice(1)).toEqual([`${spare.address} ${CONFIGURATION}`]);
});

it('a direct watch of a follower is released once the backoff of its reader is over', async () => {
  let isReading = false;
  const { relayed } = nodeWith({
    zoneAssignment: () => ({
      role: ZoneRole.Follower,
      readers: [READER],
      otherZoneReaders: () => [],
    }),
    ask: async () =>
      isReading
        ? { ok: true, value: { events: [], revision: 1 } }
        : { ok: false, failure: 'unavailable', detail: 'zone reader' },
  });
  await relayed.watch(CONFIGURATION, 1, 10_000);
  const directWatch = relayed.watch('quarantines', 1, 10_000);
  await vi.waitFor(() => expect(relayed.hasFallbackWatch).toBe(true));
  isReading = true;
  const timer = setInterval(() => relayed.releaseDirectWatches(), LONG_POLL_MS / 4);
  expect(await directWatch).toEqual({ ok: true, value: { events: [], revision: 1 } });
  clearInterval(timer);
}, 2_000);

it('a watch goes to another zone while the store is suspected, and to the store after that', async () => {
  const { relayed, view, reach } = nodeAloneInZone(7);
  reach.noteTimeout('a probe was not answered');
  expect(await relayed.watch(CONFIGURATION, 1, 10_000)).toMatchObject({ value: { revision: 7 } });
  expect(view.calls).toBe(0);
  reach.noteAnswered();
  view.failure = 'unavailable';
  await relayed.watch(CONFIGURATION, 1, 10_000);
  expect(view.calls).toBe(1);
});

it('a node that another zone has answered has a fallback watch once the store answers', async () => {
  const { relayed, reach } = nodeAloneInZone(7);
  reach.noteTimeout('a probe was not answered');
  const watch = relayed.watch(CONFIGURATION, 1, 10_000);
  await new Promise((resolve) => setImmediate(resolve));
  expect((await watch).ok).toBe(true);
  expect(relayed.isFollowing).toBe(true);
  reach.noteAnswered();
  void relayed.watch(CONFIGURATION, 1, LONG_POLL_MS);
  // A fallback watch keeps the probes enabled, although another zone answered last.
  await vi.waitFor(() => expect(relayed.hasFallbackWatch).toBe(true));
});

it('a watch that no other zone answers waits for the suspected store to answer, or fails', async () => {
  const { relayed, view, reach } = nodeAloneInZone(undefined);
  reach.noteTimeout('a probe was not answered');
  expect(await relayed.watch(CONFIGURATION, 1, 10_000)).toMatchObject({ ok: false });
  expect(view.calls).toBe(0);
  const watch = relayed.watch(CONFIGURATION, 0, 10_000);
  reach.noteAnswered();
  expect(await watch).toMatchObject({ ok: true, value: { events: [{ gone: false }] } });
});
