/** One node's part in reading the store for its zone, put together. */
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
 * Parts of the time within which a version must be in force. A follower finds out that its reader
 * is cut off after the pace and the margin at the latest (0.5), that it is frozen after the pace and
 * the patience (0.5); the rest is for its own call to the store.
 */
const PACE_SHARE = 0.3;
const MARGIN_SHARE = 0.2;
const PATIENCE_SHARE = 0.2;

/** Pause of a reader after a change: its followers wait for it. */
const READER_SETTLE_SHARE = 0.25;

/** Pause of a node that reads only for itself: longer, since each of its calls serves one node. */
const ALONE_SETTLE_SHARE = 0.35;

/** What is needed of the node. */
export interface ZoneRelayContext {
  readonly clock: Clock;
  /** The store itself. */
  readonly store: ObjectStore;
  /** This node's own record: a small object of the store, which need not exist. */
  readonly ownRecord: { readonly kind: string; readonly name: string };
  /** Kind of the configuration. */
  readonly configurationKind: string;
  /** Milliseconds from a version's acknowledgement until it must be in force. */
  readonly applyMs: number;
  readonly zoneAssignment: () => ZoneAssignment;
  /** Asks another node; undefined when it does not answer in time. */
  readonly readPeer: (
    address: string,
    question: StoreQuery,
    timeoutMs: number,
  ) => Promise<Buffer | undefined>;
  readonly onReaderChange: (reader: string | undefined, cause: string) => void;
  /** The store has ceased to answer this node's proofs, or answers again; what was seen of that. */
  readonly onReachabilityChange: (isReached: boolean, detail: string) => void;
  /** The store has come back from a copy: its era before, and now. */
  readonly onEraChange: (era: number, before: number) => void;
  /** A watch was silent although the store had changes, up to this revision. */
  readonly onMissedChanges: (kind: string, revision: number) => void;
  /** An answer to a follower has been made, of so many bytes. */
  readonly onAnswer?: (kind: string, bytes: number) => void;
}

/** The store as this node reads it, and its answers to those that read by way of this node. */
export interface ZoneRelay {
  readonly store: RelayedStore;
  /** The newest era that the store has told; 0 where it tells none. */
  readonly era: number;
  /** The store has told this era in an answer. */
  noteEra(era: number): void;
  /** Milliseconds for which changes of the configuration are gathered before the next call. */
  debounceMs(): number;
  /** Answers a node that reads by way of this one. */
  answer(question: StoreQuery): Promise<Buffer>;
  stop(): void;
}

export function createZoneRelay(context: ZoneRelayContext): ZoneRelay {
  const { clock, applyMs, ownRecord } = context;
  const origin = createEraGuard({
    clock,
    store: context.store,
    onEraIncrease: (era, before) => {
      context.onEraChange(era, before);
      watches.noteEra(era);
    },
  });
  const reach = createStoreReachability({
    clock,
    onChange: (isInDoubt, detail) => {
      context.onReachabilityChange(!isInDoubt, detail);
      if (isInDoubt) {
        origin.closeIdle();
        watches.failAll();
      }
    },
  });
  const cache = createStoreCache({
    clock,
    reach,
    era: () => origin.era,
    freshMs: applyMs * (PACE_SHARE + MARGIN_SHARE),
  });
  const watches = createDirectWatches({
    store: origin,
    knownRevision: cache.revisionOf,
    onNoMissedChanges: (kind, from, revision) =>
      cache.noteChanges(kind, from, { events: [], revision }),
    onMissedChanges: context.onMissedChanges,
  });
  const store = createRelayedStore({
    clock,
    store: origin,
    cache,
    reach,
    watches,
    nodeKind: ownRecord.kind,
    configurationKind: context.configurationKind,
    longPollMs: applyMs * PACE_SHARE,
    responseTimeoutMs: applyMs * PATIENCE_SHARE,
    zoneAssignment: context.zoneAssignment,
    ask: async (address, question, timeoutMs) => {
      const until = clock.now() + timeoutMs;
      const bytes = await context.readPeer(address, question, timeoutMs);
      const objectAt = (revision: number) => cache.objectAt(question.kind, revision);
      const result = bytes && decodeStoreResult(bytes, objectAt);
      if (result || !bytes || question.base === undefined) {
        return result;
      }
      // The difference does not lead from what is held here to what the reader has.
      const whole = { ...question, base: undefined };
      const again = await context.readPeer(address, whole, until - clock.now());
      return again && decodeStoreResult(again);
    },
    onReaderChange: context.onReaderChange,
  });
  const proof = startStoreProbe({
    clock,
    store: origin,
    reach,
    kind: ownRecord.kind,
    intervalMs: applyMs * PACE_SHARE,
    isEnabled: () => {
      // Watches from before the zone was known, or from while others asked here, would cost calls to the end of their wait.
      store.releaseDirectWatches();
      return store.hasFallbackWatch;
    },
    onRevision: watches.noteRevision,
  });
  // Followers that wait for the same change get the same bytes: packing is the dear part.
  const packed = createPackedAnswers();
  return {
    store,
    get era() {
      return origin.era;
    },
    noteEra: origin.noteEra,
    debounceMs: () => {
      if (store.isFollowing) {
        return 0;
      }
      return applyMs * (store.isReader ? READER_SETTLE_SHARE : ALONE_SETTLE_SHARE);
    },
    answer: async (question) => {
      const result = await cache.read(question);
      const { kind, revision, base } = question;
      const hasNews = result.ok && result.value.events.length > 0;
      const held = base === undefined ? undefined : cache.objectAt(kind, base);
      const bytes = hasNews
        ? packed(`${kind} ${revision} ${result.value.revision} ${held?.revision}`, () =>
            encodeStoreResult(result, held),
          )
        : encodeStoreResult(result);
      context.onAnswer?.(kind, bytes.length);
      return bytes;
    },
    stop: () => proof.stop(),
  };
}

/** Packed answers that are kept: the latest of both kinds, from two revisions. */
const KEPT_ANSWERS = 4;

function createPackedAnswers(): (key: string, pack: () => Buffer) => Buffer {
  const kept = new Map<string, Buffer>();
  return (key, pack) => {
    const bytes = kept.get(key) ?? pack();
    kept.delete(key);
    kept.set(key, bytes);
    const [oldest] = kept.keys();
    if (kept.size > KEPT_ANSWERS && oldest !== undefined) {
      kept.delete(oldest);
    }
    return bytes;
  };
}
