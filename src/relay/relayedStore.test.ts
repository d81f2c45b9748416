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
const PACE_MS = 100;

type Parts = Pick<RelayedStoreContext, 'zoneAssignment' | 'ask'> & {
  readonly responseTimeoutMs?: number;
};

/** A node's store in parts, over a store with one configuration. */
function nodeWith({ zoneAssignment, ask, responseTimeoutMs = PACE_MS }: Parts) {
  const store = new MemoryStore();
  store.put(CONFIGURATION, 'current', { version: 1 });
  const view = new StoreView(store);
  const clock = { now: () => performance.now() };
  const reach = createStoreReachability({ clock, onChange: () => {} });
  const cache = createStoreCache({ clock, reach, era: () => 0, freshMs: PACE_MS });
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
    longPollMs: PACE_MS,
    responseTimeoutMs,
    zoneAssignment,
    ask,
    onReaderChange: () => {},
  });
  return { relayed, view, reach, watches };
}

/** A follower's store whose reader never answers, and what the reader is asked. */
function followerOfSilentReader(responseTimeoutMs = PACE_MS) {
  const asked: { question: StoreQuery; timeoutMs: number }[] = [];
  const { relayed } = nodeWith({
    responseTimeoutMs,
    zoneAssignment: () => ({
      role: ZoneRole.Follower,
      readers: [READER],
      otherZoneReaders: () => [],
    }),
    ask: async (_address, question, timeoutMs) => {
      asked.push({ question, timeoutMs });
      await new Promise((resolve) => setTimeout(resolve, timeoutMs));
      return undefined;
    },
  });
  return { relayed, asked };
}

it('a node that starts waits for its reader a moment only, and asks the store', async () => {
  const { relayed } = followerOfSilentReader(2_000);
  const startedAt = performance.now();
  const listed = await relayed.list(CONFIGURATION, ReadConsistency.BoundedStaleness);
  expect(listed).toMatchObject({ ok: true, value: { items: [{ name: 'current' }] } });
  expect(performance.now() - startedAt).toBeLessThan(250);
});

it('a list of now is asked of the store alone', async () => {
  const { relayed, asked } = followerOfSilentReader();
  expect(await relayed.list(CONFIGURATION, ReadConsistency.Strong)).toMatchObject({ ok: true });
  expect(asked).toEqual([]);
});

it('a watch of the configuration finds a silent reader out in time, the directory takes longer, others longest', async () => {
  for (const [kind, longestMs] of [
    [CONFIGURATION, 2 * PACE_MS],
    [NODES, 5 * PACE_MS],
    ['quarantines', 10_000 + PACE_MS],
  ] as const) {
    const { relayed, asked } = followerOfSilentReader();
    await relayed.watch(kind, 1, 10_000);
    expect(asked.map(({ timeoutMs }) => timeoutMs)).toEqual([longestMs]);
  }
});

/** A node of its zone alone; the reader of another zone answers with this revision, or not at all. */
function aloneBeside(revisionElsewhere: number | undefined) {
  return nodeWith({
    zoneAssignment: () => ({ role: ZoneRole.Alone, readers: [], otherZoneReaders: () => [READER] }),
    ask: async () => {
      const isThere = revisionElsewhere !== undefined;
      return isThere ? { ok: true, value: { events: [], revision: revisionElsewhere } } : undefined;
    },
  });
}

it('a watch that was sent before the zone was known ends as soon as a reader can be asked, and misses nothing', async () => {
  let role = ZoneRole.Reader;
  const asked: string[] = [];
  const { relayed, view } = nodeWith({
    zoneAssignment: () => ({ role, readers: [READER], otherZoneReaders: () => [] }),
    ask: async (_address, { kind, revision = 0 }) => {
      asked.push(`${kind} ${revision}`);
      return { ok: true, value: { events: [], revision } };
    },
  });
  const early = relayed.watch('quarantines', 1, 10_000);
  await vi.waitFor(() => expect(relayed.hasFallbackWatch).toBe(true));
  relayed.releaseDirectWatches();
  expect(relayed.hasFallbackWatch).toBe(true);
  role = ZoneRole.Follower;
  relayed.releaseDirectWatches();
  expect(await early).toEqual({ ok: true, value: { events: [], revision: 1 } });
  // Not taken for an answer of the store, nor for a node that reads by itself again.
  expect(relayed.answeredAt).toBe(Number.NEGATIVE_INFINITY);
  expect(relayed.hasFallbackWatch).toBe(false);
  await relayed.watch('quarantines', 1, 10_000);
  expect(asked).toEqual(['quarantines 1']);
  // The store counts a watch when it answers it.
  expect(view.calls).toBe(0);
}, 2_000);

it('a watch of its own is left alone while the reader that could be asked has failed', async () => {
  const { relayed } = followerOfSilentReader(1);
  await relayed.watch(CONFIGURATION, 1, 10_000);
  void relayed.watch(NODES, 1, 10_000);
  await vi.waitFor(() => expect(relayed.hasFallbackWatch).toBe(true));
  relayed.releaseDirectWatches();
  expect(relayed.hasFallbackWatch).toBe(true);
});

it('a follower whose reader cannot speak for the store asks the store at once, and the spare reader only next time', async () => {
  const spare = { node: 'spare', zone: 'a', address: '10.0.0.2:1' };
  const asked: string[] = [];
  const { relayed, view } = nodeWith({
    zoneAssignment: () => ({
      role: ZoneRole.Follower,
      readers: [READER, spare],
      otherZoneReaders: () => [],
    }),
    ask: async (address) => {
      asked.push(address);
      return address === READER.address
        ? { ok: false, failure: 'unavailable', detail: 'zone reader' }
        : { ok: true, value: { events: [], revision: 1 } };
    },
  });
  // A spare reader that was not asked before has no change to tell: it would send the whole.
  void relayed.watch('quarantines', 1, 10_000);
  await vi.waitFor(() => expect(view.calls).toBe(1));
  expect(asked).toEqual([READER.address]);
  expect(await relayed.watch('quarantines', 1, 10_000)).toMatchObject({ ok: true });
  expect(asked).toEqual([READER.address, spare.address]);
});

/**
 * A follower whose first reader does not read yet when it is asked first, and whose spare reader reads
 * for others only for as long as the first one rests, and a little longer.
 */
function followerOfSpareReader() {
  const spare = { node: 'spare', zone: 'a', address: '10.0.0.2:1' };
  const asked: string[] = [];
  const { relayed, view } = nodeWith({
    zoneAssignment: () => ({
      role: ZoneRole.Follower,
      readers: [READER, spare],
      otherZoneReaders: () => [],
    }),
    ask: async (address, { kind, revision = 0 }) => {
      asked.push(`${address} ${kind}`);
      if (address === spare.address) {
        await new Promise((resolve) => setTimeout(resolve, 1.5 * PACE_MS));
      }
      return address === spare.address || asked.length === 1
        ? { ok: false, failure: 'unavailable', detail: 'zone reader' }
        : { ok: true, value: { events: [], revision } };
    },
  });
  return { relayed, view, asked, spare };
}

it('a follower whose spare reader has ceased to read asks its first reader, not the store', async () => {
  const { relayed, view, asked, spare } = followerOfSpareReader();
  await relayed.watch(NODES, 1, 10_000);
  const before = view.calls;
  expect(await relayed.watch('quarantines', 1, 10_000)).toMatchObject({ ok: true });
  expect(view.calls).toBe(before);
  expect(asked.slice(1)).toEqual([`${spare.address} quarantines`, `${READER.address} quarantines`]);
  expect(relayed.isFollowing).toBe(true);
});

it('a configuration that no reader told of in time is asked of the store at once', async () => {
  const { relayed, view, asked, spare } = followerOfSpareReader();
  await relayed.watch(NODES, 1, 10_000);
  const before = view.calls;
  expect(await relayed.watch(CONFIGURATION, 1, 10_000)).toMatchObject({ ok: true });
  expect(view.calls).toBe(before + 1);
  expect(asked.slice(1)).toEqual([`${spare.address} ${CONFIGURATION}`]);
});

it('a follower’s own watch ends once its reader may be asked again', async () => {
  let isFresh = false;
  const { relayed } = nodeWith({
    zoneAssignment: () => ({
      role: ZoneRole.Follower,
      readers: [READER],
      otherZoneReaders: () => [],
    }),
    ask: async () =>
      isFresh
        ? { ok: true, value: { events: [], revision: 1 } }
        : { ok: false, failure: 'unavailable', detail: 'zone reader' },
  });
  await relayed.watch(CONFIGURATION, 1, 10_000);
  const own = relayed.watch('quarantines', 1, 10_000);
  await vi.waitFor(() => expect(relayed.hasFallbackWatch).toBe(true));
  isFresh = true;
  const looks = setInterval(() => relayed.releaseDirectWatches(), PACE_MS / 4);
  expect(await own).toEqual({ ok: true, value: { events: [], revision: 1 } });
  clearInterval(looks);
}, 2_000);

it('a watch is not sent to a store in doubt: another zone is asked, until a proof is answered', async () => {
  const { relayed, view, reach } = aloneBeside(7);
  reach.noteTimeout('a probe was not answered');
  expect(await relayed.watch(CONFIGURATION, 1, 10_000)).toMatchObject({ value: { revision: 7 } });
  expect(view.calls).toBe(0);
  reach.noteAnswered();
  view.failure = 'unavailable';
  await relayed.watch(CONFIGURATION, 1, 10_000);
  expect(view.calls).toBe(1);
});

it('a node whose watches another zone speaks for goes on proving its own reach', async () => {
  const { relayed, reach } = aloneBeside(7);
  reach.noteTimeout('a probe was not answered');
  const watch = relayed.watch(CONFIGURATION, 1, 10_000);
  await new Promise((resolve) => setImmediate(resolve));
  expect((await watch).ok).toBe(true);
  expect(relayed.isFollowing).toBe(true);
  reach.noteAnswered();
  void relayed.watch(CONFIGURATION, 1, PACE_MS);
  // Its own watch waits at the store now, whoever spoke for it last.
  await vi.waitFor(() => expect(relayed.hasFallbackWatch).toBe(true));
});

it('a watch in doubt that nobody speaks for is sent as soon as the store answers, or fails', async () => {
  const { relayed, view, reach } = aloneBeside(undefined);
  reach.noteTimeout('a probe was not answered');
  expect(await relayed.watch(CONFIGURATION, 1, 10_000)).toMatchObject({ ok: false });
  expect(view.calls).toBe(0);
  const watch = relayed.watch(CONFIGURATION, 0, 10_000);
  reach.noteAnswered();
  expect(await watch).toMatchObject({ ok: true, value: { events: [{ gone: false }] } });
});
