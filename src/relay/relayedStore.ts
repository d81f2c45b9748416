/**
 * The store as a node of a zone sees it: a few nodes of each zone watch the store, the others watch
 * them. A node turns to the store itself as soon as its reader is silent or says that the store does
 * not answer it, and to the reader of another zone if the store does not answer itself either.
 * Writes always go to the store. So do lists that must be of now, except the one after a reader has said
 * that it no longer knows the changes, and where the store does not answer: a reader gives these.
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

/** A node goes on reading for others so long after it was last asked, in milliseconds. */
const ASKED_LIFETIME_MS = 5_000;

/** What is needed of the node. */
export interface RelayedStoreContext
  extends Omit<ReaderClientContext, 'isReader' | 'onAnswered' | 'onTimeout'> {
  /** The store itself. */
  readonly store: ObjectStore;
  readonly cache: StoreCache;
  readonly reach: StoreReachability;
  readonly watches: DirectWatches;
}

/** An object store that also tells the node's present way to it. */
export interface RelayedStore extends ObjectStore {
  /** True while this node reads by way of another one. */
  readonly isFollowing: boolean;
  /** True while this node reads for others. */
  readonly isReader: boolean;
  /** True while others ask this node. */
  readonly hasFollowers: boolean;
  /** True while no reader of the own zone speaks for some watch of this node. */
  readonly hasFallbackWatch: boolean;
  /** Steady time in milliseconds at which the store itself last answered this node. */
  readonly answeredAt: number;
  /** Ends the node's own watches if a reader can be asked instead. */
  releaseDirectWatches(): void;
}

export function createRelayedStore(context: RelayedStoreContext): RelayedStore {
  const { clock, store, cache, reach, watches, nodeKind, longPollMs, zoneAssignment } = context;
  /** Kinds whose reader no longer knows the changes since this node's revision. */
  const toList = new Set<string>();

  const isAsked = () => clock.now() - cache.lastReadAt < ASKED_LIFETIME_MS;
  const isReader = () => zoneAssignment().role === ZoneRole.Reader || isAsked();
  const readers = createReaderClient({
    ...context,
    isReader,
    onAnswered: () => watches.releaseAll(),
    // What silenced one connection of this node may have silenced those to the store.
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
  const listStore = async <Spec>(kind: string, reading: ReadConsistency) => {
    const result = await store.list<Spec>(kind, reading);
    if (!result.ok) {
      return result;
    }
    const value = cache.noteList(kind, result.value, reading);
    if (value.revision < (cache.revisionOf(kind) ?? 0)) {
      // Its asker does not take it, so it proves nothing: nodes that were told so answered 404 for new routes.
      cache.markStale(kind);
    } else {
      reach.noteAnswered();
    }
    return { ok: true, value } as const;
  };

  const zoneKnown = createZoneDiscoveryDelay({
    clock,
    nodeKind,
    isAlone: () => zoneAssignment().role === ZoneRole.Alone,
  });

  /** What a reader has answered is known here from now on. */
  const taken = <Spec>(
    kind: string,
    revision: number,
    answer: StoreResult<StoreChanges<unknown>>,
  ): StoreResult<StoreChanges<Spec>> => {
    if (!answer.ok) {
      toList.add(kind);
      return answer;
    }
    const changes = answer.value as StoreChanges<Spec>;
    return { ok: true, value: cache.noteChanges(kind, revision, changes) };
  };

  const alone = createFallbackWatch({
    reach,
    longPollMs,
    watchStore,
    watchOtherZone: async <Spec>(kind: string, revision: number, waitMs: number) => {
      const answer = await readers.askOtherZone({ kind, revision, waitMs });
      return answer && taken<Spec>(kind, revision, answer);
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
      return isAsked();
    },
    get hasFallbackWatch() {
      return alone.isActive;
    },
    get answeredAt() {
      return reach.answeredAt;
    },
    list: async <Spec>(
      kind: string,
      reading: ReadConsistency,
    ): Promise<StoreResult<StoreListing<Spec>>> => {
      const mayAsk = toList.delete(kind) || reading === ReadConsistency.BoundedStaleness;
      const from = mayAsk ? readers.selectReader() : undefined;
      let answer = from && (await readers.list(from, kind));
      if (!answer?.ok) {
        const result = await listStore<Spec>(kind, reading);
        answer = result.ok
          ? undefined
          : await readers.askOtherZone({ kind, revision: undefined, waitMs: 0 });
        if (!answer?.ok) {
          return result;
        }
      }
      const { events, revision } = answer.value;
      const items = events.map(({ object }) => object as StoredObject<Spec>);
      return { ok: true, value: cache.noteList(kind, { items, revision }, reading) };
    },
    watch: async <Spec>(
      kind: string,
      revision: number,
      waitMs: number,
    ): Promise<StoreResult<StoreChanges<Spec>>> => {
      await zoneKnown(kind);
      const from = readers.selectReader();
      if (!from) {
        return alone.watch<Spec>(kind, revision, waitMs);
      }
      const answer = await readers.watch(from, kind, revision, waitMs);
      return answer
        ? taken<Spec>(kind, revision, answer)
        : alone.watch<Spec>(kind, revision, CATCH_UP_WAIT_MS);
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
