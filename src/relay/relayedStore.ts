/**
 * The store as a node of a zone sees it: a few nodes of each zone watch the store, the others watch
 * them. A node turns to the store itself as soon as its reader is silent or says that the store
 * does not answer it. Writes, and lists that must be of now, always go to the store.
 */
import type { Clock } from '../model/clock.js';
import {
  type ObjectStore,
  Reading,
  type StoreChanges,
  type StoredObject,
  type StoreListing,
  type StoreResult,
} from '../source/object-store.js';
import type { StoreCache, StoreQuestion } from './storeCache.js';
import { type ZoneNode, type ZonePart, ZoneRole } from './zoneReaders.js';

/** A reader that did not answer is not asked again for so long, in milliseconds. */
const SILENT_REST_MS = 5_000;

/** A node goes on reading for others so long after it was last asked, in milliseconds. */
const ASKED_LIFETIME_MS = 5_000;

/** Wait of a watch that only brings up to date, in milliseconds: the store takes no zero. */
const CATCH_UP_WAIT_MS = 1;

/** What is needed of the node. */
export interface RelayedStoreContext {
  readonly clock: Clock;
  /** The store itself. */
  readonly store: ObjectStore;
  readonly cache: StoreCache;
  /** Milliseconds for which a follower's watch waits. */
  readonly paceMs: number;
  /** Milliseconds beyond the pace after which a reader counts as silent. */
  readonly patienceMs: number;
  readonly zonePart: () => ZonePart;
  /** Asks a reader; undefined when it is silent. */
  readonly ask: (
    address: string,
    question: StoreQuestion,
    timeoutMs: number,
  ) => Promise<StoreResult<StoreChanges<unknown>> | undefined>;
  /** The node now reads by way of another one (its name), or by itself, and why. */
  readonly onReader: (reader: string | undefined, cause: string) => void;
}

/** An object store that also tells the node's present way to it. */
export interface RelayedStore extends ObjectStore {
  /** True while this node reads by way of another one. */
  readonly isFollowing: boolean;
  /** True while this node reads for others. */
  readonly isReader: boolean;
}

export function createRelayedStore(context: RelayedStoreContext): RelayedStore {
  const { clock, store, cache, paceMs, patienceMs, zonePart, ask } = context;
  const restingUntil = new Map<string, number>();
  /** Kinds whose reader no longer knows the changes since this node's revision. */
  const toList = new Set<string>();
  let reader: string | undefined;

  const isReader = () =>
    zonePart().role === ZoneRole.Reader || clock.now() - cache.askedAt < ASKED_LIFETIME_MS;
  const noteReader = (next: string | undefined, cause: string) => {
    if (next !== reader) {
      reader = next;
      context.onReader(next, cause);
    }
  };
  const readerToAsk = (): ZoneNode | undefined => {
    if (isReader()) {
      return undefined;
    }
    const now = clock.now();
    return zonePart().readers.find(({ address }) => now >= (restingUntil.get(address) ?? 0));
  };

  const watchStore = async <Spec>(kind: string, revision: number, waitMs: number) => {
    const result = await store.watch<Spec>(kind, revision, waitMs);
    if (result.ok) {
      cache.noteChanges(kind, revision, result.value);
      cache.noteAnswered();
    }
    return result;
  };
  const listStore = async <Spec>(kind: string, reading: Reading) => {
    const result = await store.list<Spec>(kind, reading);
    if (result.ok) {
      cache.noteList(kind, result.value);
      cache.noteAnswered();
    }
    return result;
  };

  /** Undefined when the reader cannot speak for the store now. */
  const askReader = async (from: ZoneNode, question: StoreQuestion) => {
    const result = await ask(from.address, question, question.waitMs + patienceMs);
    if (result?.ok || result?.failure === 'history-gone') {
      noteReader(from.node, 'answered');
      return result;
    }
    const cause = result ? 'unavailable' : 'silent';
    restingUntil.set(from.address, clock.now() + (result ? paceMs : SILENT_REST_MS));
    noteReader(undefined, `${from.node} ${cause}`);
    return undefined;
  };

  return {
    get isFollowing() {
      return reader !== undefined;
    },
    get isReader() {
      return isReader();
    },
    list: async <Spec>(
      kind: string,
      reading: Reading,
    ): Promise<StoreResult<StoreListing<Spec>>> => {
      const mayAsk = toList.delete(kind) || reading === Reading.Lately;
      const from = mayAsk ? readerToAsk() : undefined;
      const answer = from && (await askReader(from, { kind, revision: undefined, waitMs: 0 }));
      if (!answer?.ok) {
        return listStore<Spec>(kind, reading);
      }
      const { events, revision } = answer.value;
      const items = events.map(({ object }) => object as StoredObject<Spec>);
      cache.noteList(kind, { items, revision });
      return { ok: true, value: { items, revision } };
    },
    watch: async <Spec>(
      kind: string,
      revision: number,
      waitMs: number,
    ): Promise<StoreResult<StoreChanges<Spec>>> => {
      const from = readerToAsk();
      if (!from) {
        noteReader(undefined, zonePart().role);
        return watchStore<Spec>(kind, revision, waitMs);
      }
      const answer = await askReader(from, { kind, revision, waitMs: Math.min(waitMs, paceMs) });
      if (!answer) {
        return watchStore<Spec>(kind, revision, CATCH_UP_WAIT_MS);
      }
      if (answer.ok) {
        cache.noteChanges(kind, revision, answer.value);
      } else {
        toList.add(kind);
      }
      return answer as StoreResult<StoreChanges<Spec>>;
    },
    create: (kind, name, spec) => store.create(kind, name, spec),
    replace: (kind, object) => store.replace(kind, object),
    remove: (kind, name, revision) => store.remove(kind, name, revision),
    probe: (kind, name) => store.probe(kind, name),
    abandonWatches: () => store.abandonWatches(),
    close: () => store.close(),
  };
}
