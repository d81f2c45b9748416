/**
 * An object store whose reads go through the readers of the zone: a few nodes of each zone watch
 * the store, and the other nodes watch these readers. A node asks the store itself as soon as its
 * reader is silent or reports that the store does not answer, and asks the reader of another zone
 * if the store does not answer this node either. Writes always go to the store. So do lists with
 * strong consistency, with two exceptions that a reader answers: the list after a reader has
 * reported that it no longer has the changes, and a list that the store does not answer.
 */
import {
  type ObjectStore,
  ReadConsistency,
  type StoreChanges,
  type StoredObject,
  type StoreListing,
  type StoreResult,
} from '../source/object-store.js';
import { CATCH_UP_WAIT_MS, type DirectWatches } from './directWatches.js';
import { createFallbackWatch } from './fallbackWatch.js';
import { createReaderClient, type ReaderClientContext } from './readerClient.js';
import type { StoreCache } from './storeCache.js';
import type { StoreReachability } from './storeReachability.js';
import { createZoneDiscoveryDelay } from './zoneDiscoveryDelay.js';
import { ZoneRole } from './zoneReaders.js';

/**
 * Milliseconds after another node's last query for which this node continues to read for others.
 */
const FOLLOWER_TIMEOUT_MS = 5_000;

/** Dependencies of the relayed store on the rest of the node. */
export interface RelayedStoreContext
  extends Omit<ReaderClientContext, 'isReader' | 'onAnswered' | 'onTimeout'> {
  /** The store itself. */
  readonly store: ObjectStore;
  readonly cache: StoreCache;
  readonly reach: StoreReachability;
  readonly watches: DirectWatches;
}

/** An object store that also reports how this node reads it at present. */
export interface RelayedStore extends ObjectStore {
  /** True while this node reads through another node. */
  readonly isFollowing: boolean;
  /** True while this node is a reader by its role, or other nodes read through it. */
  readonly isReader: boolean;
  /** True while other nodes read through this node. */
  readonly hasFollowers: boolean;
  /** True while this node has a watch that no reader of its own zone answers. */
  readonly hasFallbackWatch: boolean;
  /** Steady time in milliseconds of the store's last answer to this node. */
  readonly answeredAt: number;
  /** Ends this node's watches at the store if a reader can be asked instead. */
  releaseDirectWatches(): void;
}

export function createRelayedStore(context: RelayedStoreContext): RelayedStore {
  const { clock, store, cache, reach, watches, nodeKind, longPollMs, zoneAssignment } = context;
  /** Kinds to list, since the reader no longer has the changes since this node's revision. */
  const kindsToList = new Set<string>();

  const hasFollowers = () => clock.now() - cache.lastReadAt < FOLLOWER_TIMEOUT_MS;
  const isReader = () => zoneAssignment().role === ZoneRole.Reader || hasFollowers();
  const readers = createReaderClient({
    ...context,
    isReader,
    onAnswered: () => watches.releaseAll(),
    // The fault that silenced the connection to the reader may also affect those to the store.
    onTimeout: () => store.closeIdle(),
  });

  const watchStore = async <Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<StoreResult<StoreChanges<Spec>> | undefined> => {
    const result = await watches.watch<Spec>(kind, revision, waitMs);
    if (!result?.ok) {
      if (result?.failure === 'history-gone') {
        cache.markStale(kind);
      }
      return result;
    }
    reach.noteAnswered();
    return { ok: true, value: cache.noteChanges(kind, revision, result.value) };
  };
  const listStore = async <Spec>(kind: string, consistency: ReadConsistency) => {
    const result = await store.list<Spec>(kind, consistency);
    if (!result.ok) {
      return result;
    }
    const value = cache.noteList(kind, result.value, consistency);
    if (value.revision < (cache.revisionOf(kind) ?? 0)) {
      // The caller ignores a list that is older than the cache, so the list does not count as an
      // answer of the store. While such lists counted, nodes answered 404 for new routes.
      cache.markStale(kind);
    } else {
      reach.noteAnswered();
    }
    return { ok: true, value } as const;
  };

  const untilZoneDiscovered = createZoneDiscoveryDelay({
    clock,
    nodeKind,
    isAlone: () => zoneAssignment().role === ZoneRole.Alone,
  });

  /** Caches a reader's answer. */
  const cacheAnswer = <Spec>(
    kind: string,
    revision: number,
    answer: StoreResult<StoreChanges<unknown>>,
  ): StoreResult<StoreChanges<Spec>> => {
    if (!answer.ok) {
      kindsToList.add(kind);
      return answer;
    }
    const changes = answer.value as StoreChanges<Spec>;
    return { ok: true, value: cache.noteChanges(kind, revision, changes) };
  };

  const fallbackWatch = createFallbackWatch({
    reach,
    longPollMs,
    watchStore,
    watchOtherZone: async <Spec>(kind: string, revision: number, waitMs: number) => {
      const answer = await readers.askOtherZone({ kind, revision, waitMs });
      return answer && cacheAnswer<Spec>(kind, revision, answer);
    },
    onStoreAnswered: () => readers.noteDirect(zoneAssignment().role),
  });

  return {
    get isFollowing() {
      return readers.isFollowing;
    },
    get isReader() {
      return isReader();
    },
    get hasFollowers() {
      return hasFollowers();
    },
    get hasFallbackWatch() {
      return fallbackWatch.isActive;
    },
    get answeredAt() {
      return reach.answeredAt;
    },
    list: async <Spec>(
      kind: string,
      consistency: ReadConsistency,
    ): Promise<StoreResult<StoreListing<Spec>>> => {
      const mayAskReader =
        kindsToList.delete(kind) || consistency === ReadConsistency.BoundedStaleness;
      const reader = mayAskReader ? readers.selectReader() : undefined;
      let answer = reader && (await readers.list(reader, kind));
      if (!answer?.ok) {
        const result = await listStore<Spec>(kind, consistency);
        answer = result.ok
          ? undefined
          : await readers.askOtherZone({ kind, revision: undefined, waitMs: 0 });
        if (!answer?.ok) {
          return result;
        }
      }
      const { events, revision } = answer.value;
      const items = events.map(({ object }) => object as StoredObject<Spec>);
      return { ok: true, value: cache.noteList(kind, { items, revision }, consistency) };
    },
    watch: async <Spec>(
      kind: string,
      revision: number,
      waitMs: number,
    ): Promise<StoreResult<StoreChanges<Spec>>> => {
      await untilZoneDiscovered(kind);
      const reader = readers.selectReader();
      if (!reader) {
        return fallbackWatch.watch<Spec>(kind, revision, waitMs);
      }
      const answer = await readers.watch(reader, kind, revision, waitMs);
      return answer
        ? cacheAnswer<Spec>(kind, revision, answer)
        : fallbackWatch.watch<Spec>(kind, revision, CATCH_UP_WAIT_MS);
    },
    get: async <Spec>(kind: string, name: string): Promise<StoreResult<StoredObject<Spec>>> => {
      const result = await store.get<Spec>(kind, name);
      if (!result.ok) {
        return result;
      }
      reach.noteAnswered();
      return { ok: true, value: cache.noteObject(kind, result.value) };
    },
    releaseDirectWatches: () => {
      if (readers.selectReader()) {
        watches.releaseAll();
      }
    },
    create: (kind, name, spec) => store.create(kind, name, spec),
    replace: (kind, object) => store.replace(kind, object),
    replaceStatus: (kind, object, status) => store.replaceStatus(kind, object, status),
    remove: (kind, name, revision) => store.remove(kind, name, revision),
    probe: (kind) => store.probe(kind),
    closeIdle: () => store.closeIdle(),
    close: () => store.close(),
  };
}
