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
import { createAloneWatch } from './aloneWatch.js';
import { CATCH_UP_WAIT_MS, type OwnWatches } from './ownWatches.js';
import { createReaderQuestions, type ReaderQuestionsContext } from './readerQuestions.js';
import type { StoreCache } from './storeCache.js';
import type { StoreReach } from './storeReach.js';
import { ZoneRole } from './zoneReaders.js';
import { createZoneWait } from './zoneWait.js';

/** A node goes on reading for others so long after it was last asked, in milliseconds. */
const ASKED_LIFETIME_MS = 5_000;

/** What is needed of the node. */
export interface RelayedStoreContext
  extends Omit<ReaderQuestionsContext, 'isReader' | 'onAnswered' | 'onSilent'> {
  /** The store itself. */
  readonly store: ObjectStore;
  readonly cache: StoreCache;
  readonly reach: StoreReach;
  readonly watches: OwnWatches;
}

/** An object store that also tells the node's present way to it. */
export interface RelayedStore extends ObjectStore {
  /** True while this node reads by way of another one. */
  readonly isFollowing: boolean;
  /** True while this node reads for others. */
  readonly isReader: boolean;
  /** True while others ask this node. */
  readonly isAsked: boolean;
  /** True while no reader of the own zone speaks for some watch of this node. */
  readonly isAlone: boolean;
  /** Steady time in milliseconds at which the store itself last answered this node. */
  readonly answeredAt: number;
  /** Ends the node's own watches if a reader can be asked instead. */
  releaseOwn(): void;
}

export function createRelayedStore(context: RelayedStoreContext): RelayedStore {
  const { clock, store, cache, reach, watches, nodeKind, paceMs, zonePart } = context;
  /** Kinds whose reader no longer knows the changes since this node's revision. */
  const toList = new Set<string>();

  const isAsked = () => clock.now() - cache.askedAt < ASKED_LIFETIME_MS;
  const isReader = () => zonePart().role === ZoneRole.Reader || isAsked();
  const readers = createReaderQuestions({
    ...context,
    isReader,
    onAnswered: () => watches.release(),
    // What silenced one connection of this node may have silenced those to the store.
    onSilent: () => store.closeIdle(),
  });

  const watchStore = async <Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<StoreResult<StoreChanges<Spec>> | undefined> => {
    const result = await watches.watch<Spec>(kind, revision, waitMs);
    if (!result?.ok) {
      if (result?.failure === 'history-gone') {
        cache.noteDoubt(kind);
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
      cache.noteDoubt(kind);
    } else {
      reach.noteAnswered();
    }
    return { ok: true, value } as const;
  };

  const zoneKnown = createZoneWait({
    clock,
    nodeKind,
    isAlone: () => zonePart().role === ZoneRole.Alone,
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

  const alone = createAloneWatch({
    reach,
    paceMs,
    watchStore,
    watchElsewhere: async <Spec>(kind: string, revision: number, waitMs: number) => {
      const answer = await readers.askElsewhere({ kind, revision, waitMs });
      return answer && taken<Spec>(kind, revision, answer);
    },
    onOwn: () => readers.noteOwn(zonePart().role),
  });

  return {
    get isFollowing() {
      return readers.isFollowing;
    },
    get isReader() {
      return isReader();
    },
    get isAsked() {
      return isAsked();
    },
    get isAlone() {
      return alone.isWaiting;
    },
    get answeredAt() {
      return reach.answeredAt;
    },
    list: async <Spec>(
      kind: string,
      reading: ReadConsistency,
    ): Promise<StoreResult<StoreListing<Spec>>> => {
      const mayAsk = toList.delete(kind) || reading === ReadConsistency.BoundedStaleness;
      const from = mayAsk ? readers.readerToAsk() : undefined;
      let answer = from && (await readers.list(from, kind));
      if (!answer?.ok) {
        const result = await listStore<Spec>(kind, reading);
        answer = result.ok
          ? undefined
          : await readers.askElsewhere({ kind, revision: undefined, waitMs: 0 });
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
      const from = readers.readerToAsk();
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
    releaseOwn: () => {
      if (readers.readerToAsk()) {
        watches.release();
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
