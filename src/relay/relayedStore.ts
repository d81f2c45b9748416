/**
 * The store as a node of a zone sees it: a few nodes of each zone watch the store, the others watch
 * them. A node turns to the store itself as soon as its reader is silent or says that the store does
 * not answer it, and to the reader of another zone if the store does not answer itself either.
 * Writes, and lists that must be of now, always go to the store.
 */
import type { Clock } from '../model/clock.js';
import {
  type ObjectStore,
  Reading,
  type StoreChanges,
  type StoredObject,
  type StoreListing,
  type StoreQuestion,
  type StoreResult,
} from '../source/object-store.js';
import { createAloneWatch } from './aloneWatch.js';
import { CATCH_UP_WAIT_MS, type OwnWatches } from './ownWatches.js';
import type { StoreCache } from './storeCache.js';
import type { StoreReach } from './storeReach.js';
import { type ZoneNode, type ZonePart, ZoneRole } from './zoneReaders.js';
import { createZoneWait } from './zoneWait.js';

/** A reader that did not answer is not asked again for so long, in milliseconds. */
const SILENT_REST_MS = 5_000;

/** A node goes on reading for others so long after it was last asked, in milliseconds. */
const ASKED_LIFETIME_MS = 5_000;

/**
 * A reader that knows the list gives it at once. After a loss of power it is about to start itself, so
 * a node that starts does not wait for it longer than this, in milliseconds: the store serves it too.
 */
const LIST_PATIENCE_MS = 150;

/**
 * A follower's watch of the directory waits so many times longer than that of a configuration: an
 * owner that is known late breaks no promise, and each watch costs both nodes processor time. One of
 * any other kind waits as long as it is asked to: it still brings each change at once, and what it is
 * about goes from node to node as well.
 */
const DIRECTORY_PACES = 4;

type ReaderAnswer = StoreResult<StoreChanges<unknown>> | undefined;

/** What is needed of the node. */
export interface RelayedStoreContext {
  readonly clock: Clock;
  /** The store itself. */
  readonly store: ObjectStore;
  readonly cache: StoreCache;
  readonly reach: StoreReach;
  readonly watches: OwnWatches;
  /** Kind of the records by which nodes find one another. */
  readonly nodeKind: string;
  /** Kind of the objects that are to be in force in time everywhere. */
  readonly hurriedKind: string;
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
  ) => Promise<ReaderAnswer>;
  /** The node now reads by way of another one (its name), or by itself, and why. */
  readonly onReader: (reader: string | undefined, cause: string) => void;
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
  const {
    clock,
    store,
    cache,
    reach,
    watches,
    nodeKind,
    hurriedKind,
    paceMs,
    patienceMs,
    zonePart,
    ask,
  } = context;
  const restingUntil = new Map<string, number>();
  /** Kinds whose reader no longer knows the changes since this node's revision. */
  const toList = new Set<string>();
  let reader: string | undefined;

  const isAsked = () => clock.now() - cache.askedAt < ASKED_LIFETIME_MS;
  const isReader = () => zonePart().role === ZoneRole.Reader || isAsked();
  const noteReader = (next: string | undefined, cause: string) => {
    if (next !== reader) {
      reader = next;
      context.onReader(next, cause);
    }
  };
  const isAwake = ({ address }: ZoneNode) => clock.now() >= (restingUntil.get(address) ?? 0);
  const readerToAsk = (): ZoneNode | undefined =>
    isReader() ? undefined : zonePart().readers.find(isAwake);

  const watchStore = async <Spec>(
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<StoreResult<StoreChanges<Spec>> | undefined> => {
    const result = await watches.watch<Spec>(kind, revision, waitMs);
    if (!result?.ok) {
      return result;
    }
    reach.noteAnswered();
    return { ok: true, value: cache.noteChanges(kind, revision, result.value) };
  };
  const listStore = async <Spec>(kind: string, reading: Reading) => {
    const result = await store.list<Spec>(kind, reading);
    if (!result.ok) {
      return result;
    }
    reach.noteAnswered();
    return { ok: true, value: cache.noteList(kind, result.value) } as const;
  };

  const zoneKnown = createZoneWait({
    clock,
    nodeKind,
    isAlone: () => zonePart().role === ZoneRole.Alone,
  });

  /** How long a follower's watch waits, in milliseconds: a silent reader is found out after that. */
  const longestWaitMs = (kind: string): number => {
    if (kind === hurriedKind) {
      return paceMs;
    }
    return kind === nodeKind ? paceMs * DIRECTORY_PACES : Number.POSITIVE_INFINITY;
  };

  /** Undefined when the reader is silent; as unavailable when it cannot speak for the store now. */
  const askReader = async (from: ZoneNode, question: StoreQuestion): Promise<ReaderAnswer> => {
    const isList = question.revision === undefined;
    const timeoutMs = isList ? LIST_PATIENCE_MS : question.waitMs + patienceMs;
    const base = cache.onlyRevision(question.kind);
    const result = await ask(from.address, { ...question, base }, timeoutMs);
    if (spoken(result)) {
      noteReader(from.node, 'answered');
      watches.release();
      return result;
    }
    if (!result) {
      // What silenced one connection of this node may have silenced those to the store.
      store.closeIdle();
    }
    restingUntil.set(from.address, clock.now() + (result ? paceMs : SILENT_REST_MS));
    noteReader(undefined, `${from.node} ${result ? 'unavailable' : 'silent'}`);
    return result;
  };

  /**
   * Asks a reader, and if that has ceased to read, the one that it was asked in place of: a node that
   * reads only because others asked it while their first reader rested ceases when they ask no more,
   * and a watch that still waits there ends so. Readers that come after it are not asked: they know
   * no earlier version of what this node holds, and would send it whole. A configuration is asked of
   * the store at once, since the time within which it must be in force has room for one more call.
   */
  const watchReader = async (from: ZoneNode, question: StoreQuestion): Promise<ReaderAnswer> => {
    const answer = await askReader(from, question);
    const hasCeased = answer !== undefined && !spoken(answer);
    if (!hasCeased || question.kind === hurriedKind || isReader()) {
      return spoken(answer);
    }
    const { readers } = zonePart();
    const place = readers.findIndex(({ address }) => address === from.address);
    const preferred = readers.slice(0, Math.max(place, 0)).find(isAwake);
    return preferred && (await watchReader(preferred, question));
  };

  /** The store has not answered this node: another zone's reader may have what it says. */
  const askElsewhere = async (question: StoreQuestion) => {
    const from = zonePart().elsewhere().find(isAwake);
    return from && spoken(await askReader(from, question));
  };

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
      const answer = await askElsewhere({ kind, revision, waitMs });
      return answer && taken<Spec>(kind, revision, answer);
    },
    onOwn: () => noteReader(undefined, zonePart().role),
  });

  return {
    get isFollowing() {
      return reader !== undefined;
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
      reading: Reading,
    ): Promise<StoreResult<StoreListing<Spec>>> => {
      const mayAsk = toList.delete(kind) || reading === Reading.Lately;
      const from = mayAsk ? readerToAsk() : undefined;
      const question = { kind, revision: undefined, waitMs: 0 };
      let answer = from && (await askReader(from, question));
      if (!answer?.ok) {
        const result = await listStore<Spec>(kind, reading);
        answer = result.ok ? undefined : await askElsewhere(question);
        if (!answer?.ok) {
          return result;
        }
      }
      const { events, revision } = answer.value;
      const items = events.map(({ object }) => object as StoredObject<Spec>);
      return { ok: true, value: cache.noteList(kind, { items, revision }) };
    },
    watch: async <Spec>(
      kind: string,
      revision: number,
      waitMs: number,
    ): Promise<StoreResult<StoreChanges<Spec>>> => {
      await zoneKnown(kind);
      const from = readerToAsk();
      if (!from) {
        return alone.watch<Spec>(kind, revision, waitMs);
      }
      const longestMs = Math.min(waitMs, longestWaitMs(kind));
      const answer = await watchReader(from, { kind, revision, waitMs: longestMs });
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
      if (readerToAsk()) {
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

/** An answer that speaks for the store. */
function spoken(answer: ReaderAnswer): ReaderAnswer {
  return answer?.ok || answer?.failure === 'history-gone' ? answer : undefined;
}
