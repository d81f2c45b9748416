/** Assembles the parts with which one node reads the store, for itself and for its zone. */
import type { Clock } from '../model/clock.js';
import { createEraGuard } from '../source/eraGuard.js';
import type { ObjectStore, StoreQuery } from '../source/object-store.js';
import { createDirectWatches } from './directWatches.js';
import { createRelayedStore, type RelayedStore } from './relayedStore.js';
import { createStoreCache } from './storeCache.js';
import { startStoreProbe } from './storeProbe.js';
import { createStoreReachability } from './storeReachability.js';
import { decodeStoreResult, encodeStoreResult } from './storeResultCodec.js';
import type { ZoneAssignment } from './zoneReaders.js';

/**
 * Shares of the time within which a version must be in force. A follower detects a reader that is
 * cut off from the store within the long poll and the freshness margin (0.5), and a frozen reader
 * within the long poll and the response timeout (0.5). The remaining time is for the follower's own
 * call to the store.
 */
const LONG_POLL_SHARE = 0.3;
const FRESHNESS_MARGIN_SHARE = 0.2;
const RESPONSE_TIMEOUT_SHARE = 0.2;

/**
 * Share of the time within which a version must be in force, for which a reader gathers changes
 * before its next call. Its followers wait meanwhile.
 */
const READER_DEBOUNCE_SHARE = 0.25;

/**
 * Share of the time within which a version must be in force, for which a node that reads only for
 * itself gathers changes. It is longer than a reader's, since each call serves one node only.
 */
const DIRECT_DEBOUNCE_SHARE = 0.35;

/** Dependencies of the relay on the rest of the node. */
export interface ZoneRelayContext {
  readonly clock: Clock;
  /** The store itself. */
  readonly store: ObjectStore;
  /** This node's own record: a small object of the store that may not exist. */
  readonly ownRecord: { readonly kind: string; readonly name: string };
  /** Kind of the configuration. */
  readonly configurationKind: string;
  /** Milliseconds from a version's acknowledgement until it must be in force. */
  readonly applyMs: number;
  readonly zoneAssignment: () => ZoneAssignment;
  /** Sends a query to another node. Resolves with undefined if the node does not answer in time. */
  readonly readPeer: (
    address: string,
    query: StoreQuery,
    timeoutMs: number,
  ) => Promise<Buffer | undefined>;
  readonly onReaderChange: (reader: string | undefined, cause: string) => void;
  /** Called when the store stops answering this node's probes or answers again, with the cause. */
  readonly onReachabilityChange: (isReached: boolean, detail: string) => void;
  /** Called when the store has been restored from a copy, with its new and its previous era. */
  readonly onEraChange: (era: number, before: number) => void;
  /** Called when a silent watch has missed changes of the store, up to this revision. */
  readonly onMissedChanges: (kind: string, revision: number) => void;
  /** Called with the size of each answer to a follower. */
  readonly onAnswer?: (kind: string, bytes: number) => void;
}

/** The store as this node reads it, and this node's answers to its followers. */
export interface ZoneRelay {
  readonly store: RelayedStore;
  /** The newest era that the store has reported; 0 if it reports none. */
  readonly era: number;
  /** Notes an era that the store has reported in an answer. */
  noteEra(era: number): void;
  /** Milliseconds for which changes of the configuration are gathered before the next call. */
  debounceMs(): number;
  /** Answers the query of a node that reads through this one. */
  answer(query: StoreQuery): Promise<Buffer>;
  stop(): void;
}

export function createZoneRelay(context: ZoneRelayContext): ZoneRelay {
  const { clock, applyMs, ownRecord } = context;
  const guardedStore = createEraGuard({
    clock,
    store: context.store,
    onEraIncrease: (era, before) => {
      context.onEraChange(era, before);
      watches.noteEra(era);
    },
  });
  const reach = createStoreReachability({
    clock,
    onChange: (isSuspected, detail) => {
      context.onReachabilityChange(!isSuspected, detail);
      if (isSuspected) {
        guardedStore.closeIdle();
        watches.failAll();
      }
    },
  });
  const cache = createStoreCache({
    clock,
    reach,
    era: () => guardedStore.era,
    freshMs: applyMs * (LONG_POLL_SHARE + FRESHNESS_MARGIN_SHARE),
  });
  const watches = createDirectWatches({
    store: guardedStore,
    knownRevision: cache.revisionOf,
    onNoMissedChanges: (kind, from, revision) =>
      cache.noteChanges(kind, from, { events: [], revision }),
    onMissedChanges: context.onMissedChanges,
  });
  const store = createRelayedStore({
    clock,
    store: guardedStore,
    cache,
    reach,
    watches,
    nodeKind: ownRecord.kind,
    configurationKind: context.configurationKind,
    longPollMs: applyMs * LONG_POLL_SHARE,
    responseTimeoutMs: applyMs * RESPONSE_TIMEOUT_SHARE,
    zoneAssignment: context.zoneAssignment,
    ask: async (address, query, timeoutMs) => {
      const until = clock.now() + timeoutMs;
      const bytes = await context.readPeer(address, query, timeoutMs);
      const objectAt = (revision: number) => cache.objectAt(query.kind, revision);
      const result = bytes && decodeStoreResult(bytes, objectAt);
      if (result || !bytes || query.base === undefined) {
        return result;
      }
      // The reader's difference does not fit the version that this node holds: request the whole.
      const queryWithoutBase = { ...query, base: undefined };
      const retryBytes = await context.readPeer(address, queryWithoutBase, until - clock.now());
      return retryBytes && decodeStoreResult(retryBytes);
    },
    onReaderChange: context.onReaderChange,
  });
  const probe = startStoreProbe({
    clock,
    store: guardedStore,
    reach,
    kind: ownRecord.kind,
    intervalMs: applyMs * LONG_POLL_SHARE,
    isEnabled: () => {
      // A direct watch may have begun before this node found a reader, or while it read for others.
      // It is released, since it would otherwise need probes until its wait ends.
      store.releaseDirectWatches();
      return store.hasFallbackWatch;
    },
    onRevision: watches.noteRevision,
  });
  // Followers that wait for the same change get the same bytes, since encoding is the costly part.
  const cachedAnswer = createAnswerCache();
  return {
    store,
    get era() {
      return guardedStore.era;
    },
    noteEra: guardedStore.noteEra,
    debounceMs: () => {
      if (store.isFollowing) {
        return 0;
      }
      return applyMs * (store.isReader ? READER_DEBOUNCE_SHARE : DIRECT_DEBOUNCE_SHARE);
    },
    answer: async (query) => {
      const result = await cache.read(query);
      const { kind, revision, base } = query;
      const hasChanges = result.ok && result.value.events.length > 0;
      const baseObject = base === undefined ? undefined : cache.objectAt(kind, base);
      const bytes = hasChanges
        ? cachedAnswer(`${kind} ${revision} ${result.value.revision} ${baseObject?.revision}`, () =>
            encodeStoreResult(result, baseObject),
          )
        : encodeStoreResult(result);
      context.onAnswer?.(kind, bytes.length);
      return bytes;
    },
    stop: () => probe.stop(),
  };
}

/** Encoded answers that are cached: the latest of two kinds, each from two revisions. */
const MAX_CACHED_ANSWERS = 4;

function createAnswerCache(): (key: string, encode: () => Buffer) => Buffer {
  const answers = new Map<string, Buffer>();
  return (key, encode) => {
    const bytes = answers.get(key) ?? encode();
    answers.delete(key);
    answers.set(key, bytes);
    const [oldest] = answers.keys();
    if (answers.size > MAX_CACHED_ANSWERS && oldest !== undefined) {
      answers.delete(oldest);
    }
    return bytes;
  };
}
